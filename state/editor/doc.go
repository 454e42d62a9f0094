// Package editor changes the configuration that is stored in the platform.
//
// A change is based on a version, and is committed on condition that this version
// is still the current one. The document is first put into the object store under
// its hash. One transaction then updates the row of the current version and adds
// a row for the new version to the history.
package editor
