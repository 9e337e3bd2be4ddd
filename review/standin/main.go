// Command standin plays the cases of the review: it starts the programs of the mesh on loopback addresses, with stand-ins for
// the clients, the servers, the operator and the platform. Its exit status is 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the functions that play a case. Each reports whether the rule was broken.
var cases = map[string]func(m *mesh, trouble bool) (broken bool, err error){
	"abandoned-pipelines": abandonedPipelines,
	"lost-deregistration": lostDeregistration,
	"late-heartbeat":      lateHeartbeat,
	"large-bodies":        largeBodies,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	m, err := newMesh(file, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer m.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		m.stop()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](m, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		m.logf("%v", err)
		fmt.Println(err)
		return 2
	case broken:
		m.logf("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	m.logf("RESULT: the rule held")
	fmt.Println("the rule held")
	return 0
}
