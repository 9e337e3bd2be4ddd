// Command ivydeck-data runs the sidecar proxy of the mesh, which routes the requests that originate on its machine.
package main

import (
	"ivydeck/internal/config/nodefile"
	"ivydeck/internal/dataplane/sidecar"
	"ivydeck/internal/program"
)

func main() {
	program.Main("ivydeck-data", "The data plane of the ivydeck mesh.", nodefile.SidecarMachine, sidecar.Run)
}
