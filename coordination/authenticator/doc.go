// Package authenticator checks callers' keys against the configuration.
package authenticator
