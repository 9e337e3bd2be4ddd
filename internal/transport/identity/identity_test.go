package identity

import (
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority(filepath.Join(t.TempDir(), "ca"), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *Authority, role Role, name string, life time.Duration) Files {
	t.Helper()
	f, err := a.Issue(Name{role, name}, life, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func open(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := Open(f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// meet lets a client connect to a server; it returns whom each has met, and what went wrong on either side.
func meet(server, client *tls.Config) (met [2]Name, errs [2]error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan struct{})
	s, c := tls.Server(a, server), tls.Client(b, client)
	go func() {
		defer close(done)
		if errs[0] = s.Handshake(); errs[0] == nil {
			met[0] = PeerName(s.ConnectionState())
			s.Write([]byte{1})
		} else {
			a.Close()
		}
	}()
	if errs[1] = c.Handshake(); errs[1] == nil {
		met[1] = PeerName(c.ConnectionState())
		_, errs[1] = c.Read(make([]byte, 1)) // a refusal of the client's certificate comes behind its handshake
	}
	b.Close()
	<-done
	return met, errs
}

func TestAuthorization(t *testing.T) {
	a, other := authority(t), authority(t)
	core := open(t, issue(t, a, QuorumMember, "c1", time.Hour/2))
	node := open(t, issue(t, a, Node, "n1", time.Hour/2))
	met, errs := meet(core.Server(), node.Client())
	if errs[0] != nil || errs[1] != nil || met[0] != (Name{Node, "n1"}) || met[1] != (Name{QuorumMember, "c1"}) {
		t.Fatalf("%v, %v", met, errs)
	}
	stranger := issue(t, other, Node, "n1", time.Hour/2)
	stranger.Bundle = a.Bundle()
	expired := issue(t, a, Node, "n1", time.Millisecond)
	for end := open(t, expired).NotAfter(); !time.Now().After(end); { // at once, as an X.509 time has whole seconds
		runtime.Gosched()
	}
	operator := open(t, issue(t, a, Operator, "ann", time.Hour/2))
	old := node.Client()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	bare := node.Client()
	bare.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return new(tls.Certificate), nil }
	for what, c := range map[string][2]*tls.Config{
		"an authority that is not in the bundle": {core.Server(), open(t, stranger).Client()},
		"a server of such an authority":          {open(t, stranger).Server(), node.Client()},
		"an expired certificate":                 {core.Server(), open(t, expired).Client()},
		"an operator's in a machine's place":     {operator.Server(), node.Client()},
		"TLS 1.2":                                {core.Server(), old},
		"no certificate":                         {core.Server(), bare},
	} {
		if _, errs := meet(c[0], c[1]); errs[0] == nil && errs[1] == nil {
			t.Errorf("%s was trusted", what)
		}
	}
}

// TestFileReload: new connections go by new files, an authority is replaced with none lost, and half a change
// changes nothing.
func TestFileReload(t *testing.T) {
	a := authority(t)
	files := issue(t, a, QuorumMember, "c1", time.Hour/2)
	server, client := open(t, files), open(t, issue(t, a, Node, "n1", time.Hour/2))
	again := func(s *Source) {
		s.mu.Lock()
		s.nextCheckAt = time.Time{}
		s.mu.Unlock()
	}
	check := func(what string, want bool) {
		t.Helper()
		again(server)
		again(client)
		if _, errs := meet(server.Server(), client.Client()); (errs[0] == nil && errs[1] == nil) != want {
			t.Errorf("%s: %v", what, errs)
		}
	}
	if err := os.WriteFile(files.Key, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	check("a key that is half written", true)
	if err := a.Rotate(time.Hour); err != nil {
		t.Fatal(err)
	}
	fresh, err := a.Issue(Name{QuorumMember, "c1"}, time.Hour/2, filepath.Dir(files.Cert))
	if err != nil || fresh.Cert != files.Cert {
		t.Fatalf("%v, %v", fresh, err)
	}
	check("one of the two under the new authority", true)
	if err := a.Retire(); err != nil {
		t.Fatal(err)
	}
	check("the other's authority is retired", false)
	client = open(t, issue(t, a, Node, "n1", time.Hour/2))
	check("both under the new authority, the server's process being the old one", true)
}

func TestNamesAndAuthoritiesAreChecked(t *testing.T) {
	a := authority(t)
	for _, n := range []Name{{"king", "x"}, {QuorumMember, ""}, {QuorumMember, "a/b"}} {
		if _, err := a.Issue(n, time.Minute, t.TempDir()); err == nil {
			t.Errorf("%q was issued", n)
		}
	}
	if _, err := a.Issue(Name{QuorumMember, "x"}, 2*time.Hour, t.TempDir()); err == nil || !strings.Contains(err.Error(), "beyond the authority's") {
		t.Errorf("a certificate outlives its authority: %v", err)
	}
	if _, err := NewAuthority(filepath.Dir(a.Bundle()), time.Hour); err == nil {
		t.Error("an authority took the place of another")
	}
	if _, err := OpenAuthority(t.TempDir()); err == nil {
		t.Error("an authority was found in an empty folder")
	}
	f := issue(t, a, QuorumMember, "x", time.Minute)
	f.Bundle = f.Key
	if _, err := Open(f, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a bundle without certificates was taken")
	}
}
