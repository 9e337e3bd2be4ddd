// Command ivydeck-control is the mesh's control plane: the process on each core
// machine, which together keep the configuration and the registry.
package main

import (
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/controlplane/server"
	"ivydeck/internal/program"
)

func main() {
	program.Main("ivydeck-control", "The control plane of the ivydeck mesh.", nodefile.QuorumMachine, server.Run)
}
