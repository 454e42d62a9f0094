// Package authenticator checks the keys of callers against the configuration.
package authenticator
