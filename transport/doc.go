// Package transport opens TCP connections and keeps time for the packages
// below it.
package transport
