// Package encoder frames protobuf messages on a byte stream and ties typed
// handlers to methods.
//
// A message is its length as an unsigned varint followed by its protobuf
// encoding. Messages longer than MaxMessage are refused.
package encoder
