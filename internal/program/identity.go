package program

import (
	"fmt"
	"log/slog"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/transport/identity"
)

// Identity opens the identity configured in the settings, or returns nil if there is none. It is an error if its role and
// name are not those of the machine.
func Identity(settings *nodefile.Settings, log *slog.Logger) (*identity.Source, error) {
	if settings.Cert == "" {
		return nil, nil
	}
	source, err := identity.Open(identity.Files{Cert: settings.Cert, Key: settings.Key, Bundle: settings.Bundle}, log)
	if err != nil {
		return nil, err
	}
	want := identity.Name{Role: identity.Node, Name: settings.Node}
	if settings.Class == nodefile.QuorumMachine {
		want.Role = identity.QuorumMember
	}
	if name := source.Name(); name != want {
		return nil, fmt.Errorf("identity: %s was issued to %s, but this machine is %s", settings.Cert, name, want)
	}
	return source, nil
}

// Secure returns the identity if required is set, and nil otherwise.
func Secure(source *identity.Source, required bool) *identity.Source {
	if required {
		return source
	}
	return nil
}
