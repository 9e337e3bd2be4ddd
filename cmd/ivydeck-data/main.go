// Command ivydeck-data is the mesh's data plane: the process on each sidecar
// machine that carries the requests which begin there.
package main

import (
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/sidecar"
	"ivydeck/internal/program"
)

func main() {
	program.Main("ivydeck-data", "The data plane of the ivydeck mesh.", nodefile.SidecarMachine, sidecar.Run)
}
