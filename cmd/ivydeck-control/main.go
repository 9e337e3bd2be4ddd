// Command ivydeck-control runs a member of the control-plane quorum, which replicates the mesh's configuration and the registry of
// servers.
package main

import (
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/server"
	"ivydeck/internal/program"
)

func main() {
	program.Main("ivydeck-control", "The control plane of the ivydeck mesh.", nodefile.QuorumMachine, server.Run)
}
