package radishspoke

// Version is the release version of this source tree.
const Version = "0.1.0"
