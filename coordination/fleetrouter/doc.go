// Package fleetrouter chooses the targets of a request. It runs on an external
// platform; its counterpart in radishspoke's own deployment is package router.
//
// A prompt goes to the engine that is expected to finish its prefill first, by the
// learned times of engines, the queue of each engine and the parts that it holds in
// its KV cache. Every process ranks the engines for a shared part in the same order
// (rendezvous hashing), so that each part is cached in one place. An engine that does
// not hold the shared parts fetches them from one that does, if that is faster than
// reading them.
//
// Targets that do not respond, and engines that refuse repeatedly, are ejected
// for a time that grows with each failure. If all targets of a group are
// ejected, the one whose ejection ends first is tried. Failed requests raise the
// cost of a target.
package fleetrouter
