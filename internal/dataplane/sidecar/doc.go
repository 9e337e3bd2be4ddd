// Package sidecar implements the proxy process that runs beside an application server. It routes the requests of clients
// (packages proxy and router), forwards requests from other nodes to the local server (package localserver), and takes part
// in the control plane (package agent).
//
//	node.go       construction and main loop
//	listeners.go  listening sockets
//	servers.go    calls of the application server
//	heartbeat.go  decoding of its heartbeats
//	verifier.go   holds back servers that may have departed before the process started
//	update.go     applies updates of the replicated state to the request path
//	shutdown.go   graceful shutdown
//	metrics.go, status.go, trace.go  metrics, status and traces for operators
package sidecar
