// Package callerwatcher tells whether the caller of a request is still connected.
//
// An HTTP server learns of the end of a connection in a goroutine beside the handler. A process
// that was held up finds a request and the close behind it at the same time, and the handler may
// call a target before that goroutine has run. Besides, the server stops looking when a caller has
// sent bytes beyond its request. A Watcher therefore looks at the connection itself: whenever a
// call is about to be made for a request, see Check, and periodically while a request is served.
//
// The caller of a request is the process at the other end of its connection. At a sidecar, that is
// an entry.
package callerwatcher
