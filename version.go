package radishspoke

// Version is the release that this source makes.
const Version = "0.1.0"
