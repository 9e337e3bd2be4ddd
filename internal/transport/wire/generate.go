// Package wire holds the messages that ivydeck's processes exchange, generated
// from the .proto files beside it, one for each part of the system.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative transport.proto request.proto state.proto consensus.proto membership.proto inspect.proto
