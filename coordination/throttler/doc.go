// Package throttler keeps the rates of requests that targets state that they take from all
// senders together.
package throttler
