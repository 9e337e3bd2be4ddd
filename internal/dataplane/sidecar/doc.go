// Package sidecar is the process beside an application server: it takes the requests of the clients on its machine (package
// proxy, driven by the decisions of package router), serves the requests of other nodes to the server beside it (package
// localserver), and takes part in the control plane (package agent).
//
//	node.go       construction, run, shutdown order
//	listeners.go  ports
//	servers.go    heartbeats of the application server
//	update.go     updates of the replicated state to the request path
//	shutdown.go   graceful shutdown
//	metrics.go, status.go, trace.go  what operators can see
package sidecar
