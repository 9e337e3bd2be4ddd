package sidecar

import (
	"log/slog"
	"testing"

	"ivydeck/internal/config/nodefile"
)

// TestReloadChangesCallerService guards against requests under the name of the service that the settings file named when the
// process started.
func TestReloadChangesCallerService(t *testing.T) {
	m := &mesh{t: t, ports: freePorts(t), dir: t.TempDir()}
	n, err := newNode(t.Context(), m.settings(9, nodefile.SidecarMachine, true), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	reloads := make(chan *nodefile.Settings)
	go func() {
		defer close(reloads)
		changed := m.settings(9, nodefile.SidecarMachine, true)
		changed.Backend = "other"
		reloads <- changed
	}()
	if caller := n.outbound.Caller(); caller != "s" {
		t.Errorf("requests begin under the name %q before the reload, want %q", caller, "s")
	}
	n.applyReloads(func() *nodefile.Settings { return <-reloads })
	if caller := n.outbound.Caller(); caller != "other" {
		t.Errorf("requests begin under the name %q after the reload, want %q", caller, "other")
	}
}
