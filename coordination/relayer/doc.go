// Package relayer takes a prompt through two engines beside the first of them.
//
// An engine that reads and an engine that generates both need the whole request.
// An entry sends it once, to the sidecar of the reading engine: the Relayer there
// orders the prompts of all entries, has them read, sends each request on to the
// engine that its entry chose, and passes the answer back. A Client in the entry
// finds Relayers that are silent; the entry then sends the request to both
// engines itself.
//
// The load it answers is a rush of long prompts at entries with slow links, where
// the second copy of each body waits behind the first copies of others.
package relayer
