// Package parser reads INI text into structs and checks it whole.
//
// A struct's tags are the schema of its section:
//
//	ini       the key
//	default   the value when the key is absent
//	required  "yes" when the key must be there
//	oneof     the allowed words, separated by |
//	min, max  bounds of a number, or of a duration in seconds
//	format    "address" for IP:port
//
// Every fault of a file is reported in one Errors value, each with the file,
// line, section and key. A key or section that does not exist is a fault, and
// the nearest one that does is named.
package parser
