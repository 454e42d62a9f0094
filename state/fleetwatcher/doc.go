// Package fleetwatcher keeps a process's view of the fleet: the newest
// configuration, the last time at which it was known to be the newest, and the
// list of targets.
//
// The version of the configuration never decreases. A process that hears of a newer one
// from another process requests it there, as its own call to the platform may hang.
//
// A list has the time at which the call was sent that read it, and the process knows since
// when it has missed no change of the list. A target that disappears
// from the list is dropped at once, except shortly after an outage of the platform:
// during it, the platform drops targets that are still alive, and lists them again
// soon after it. Processes tell each other since when the platform has served the list,
// so that an outage of one process does not count as one of the platform.
//
// Package fleetwatcher runs on an external platform. Its counterpart in
// radishspoke's own deployment is package watcher.
package fleetwatcher
