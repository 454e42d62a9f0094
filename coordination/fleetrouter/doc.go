// Package fleetrouter chooses the targets of a request. It runs on an external
// platform; its counterpart in radishspoke's own deployment is package router.
//
// A prompt goes to the engine that is expected to finish its prefill first. The
// estimate is based on the queue of the engine and on its KV cache, which may
// still hold a part that the prompt shares with other prompts. Every process ranks
// the engines for a shared part in the same order (rendezvous hashing), so each
// part is cached in one place without any exchange between processes.
//
// Targets that do not respond, and engines that refuse repeatedly, are ejected
// for a time that grows with each failure. If all targets of a group are
// ejected, the one whose ejection ends first is tried. Failed requests raise the
// cost of a target.
package fleetrouter
