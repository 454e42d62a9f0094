// Package encoder implements remote procedure calls with protobuf messages on byte
// streams.
//
// Each message is preceded by its length as an unsigned varint. Messages longer than
// MaxMessage are rejected by both the sender and the receiver. The first message of a
// stream is a wire.Open with the name of the method, which selects the handler.
package encoder
