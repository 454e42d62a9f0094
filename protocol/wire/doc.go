// Package wire contains the protobuf messages that the processes of the system
// exchange. The code is generated from wire.proto by protoc-gen-go.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=radishspoke -I . wire.proto
