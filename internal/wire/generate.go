// Package wire holds the messages that ivydeck's processes exchange, generated
// from wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
