// Package wire holds the protobuf messages that ivydeck's processes exchange. The code is generated from the .proto files in
// this folder.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative transport.proto request.proto state.proto consensus.proto membership.proto inspect.proto
