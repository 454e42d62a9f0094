// Package assembler builds the daemon's processes out of their parts.
package assembler
