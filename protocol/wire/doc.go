// Package wire contains the protobuf messages that the processes of the system
// exchange. The code is generated from wire.proto by protoc-gen-go.
//
// On an external platform, only Gossip, Relay and the messages inside them are used.
// The other messages are used in radishspoke's own deployment.
package wire

//go:generate protoc --go_out=../.. --go_opt=module=radishspoke -I . wire.proto
