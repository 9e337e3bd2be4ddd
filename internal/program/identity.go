package program

import (
	"fmt"
	"log/slog"

	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/transport/identity"
)

// Identity opens the identity that the settings name; nil: they name none. It must be the machine's own.
func Identity(set *nodefile.Settings, log *slog.Logger) (*identity.Source, error) {
	if set.Cert == "" {
		return nil, nil
	}
	source, err := identity.Open(identity.Files{Cert: set.Cert, Key: set.Key, Bundle: set.Bundle}, log)
	if err != nil {
		return nil, err
	}
	want := identity.Name{Role: identity.Node, Name: set.Node}
	if set.Class == nodefile.QuorumMachine {
		want.Role = identity.QuorumMember
	}
	if name := source.Name(); name != want {
		return nil, fmt.Errorf("identity: %s is of %s, and this machine is %s", set.Cert, name, want)
	}
	return source, nil
}

// Secure returns the identity if it is required; else nil.
func Secure(source *identity.Source, required bool) *identity.Source {
	if required {
		return source
	}
	return nil
}
