// Package examples embeds example files: the inventories of two deployments, and
// a settings file for each kind of process.
package examples

import "embed"

// Files holds the INI files of this package.
//
//go:embed *.ini
var Files embed.FS
