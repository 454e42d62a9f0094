// Package relayer sends a request through a prefill engine and a decode engine
// from the sidecar of the prefill engine. It runs on an external platform.
//
// Both engines need the whole request. An entry sends it only once, to the
// sidecar of the prefill engine. The Relayer there queues the prompts of all
// entries, has the engine prefill them, sends each request on to the decode
// engine that the entry chose, and streams the answer back. A Client in the
// entry detects Relayers that do not respond; the entry then sends the request
// to both engines itself.
//
// This keeps latency low when many long prompts arrive at entries with slow links.
// There, the second copy of each body would queue on the link behind the bodies of
// other requests.
package relayer
