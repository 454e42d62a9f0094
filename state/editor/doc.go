// Package editor changes the configuration that the platform holds.
//
// A change is made from a version and committed on condition that it is still
// the current one. The document goes into the object store first, under its
// hash; one transaction then moves the current row and adds the row of the
// new version to the history.
package editor
