// Package parser decodes inventories and settings in INI format into structs and
// validates them.
//
// The tags of a struct's fields are the schema of its section:
//
//	ini       the key
//	default   the value when the key is absent
//	required  "yes" if the key must be present
//	oneof     the allowed values, separated by |
//	min, max  bounds of a number, or of a duration in seconds
//	format    "address" for IP:port
//
// All faults of a file are reported in one Errors value, each with its file,
// line, section and key. An unknown key or section is a fault; its message
// suggests the known name with the smallest edit distance, if that is at most 3.
package parser
