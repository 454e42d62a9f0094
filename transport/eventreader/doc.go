// Package eventreader reads streams of server-sent events, the media type
// text/event-stream of the HTML standard, and tells whole streams from those that
// were broken off.
package eventreader
