// Package wire holds the messages between the system's processes, generated
// from wire.proto by protoc-gen-go.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=radishspoke -I . wire.proto
