// Package storer is the client of the platform's services, over HTTP and
// JSON.
//
// Each write carries an id inside the value it stores. A conditional write
// whose answer was lost is resolved by reading the row back: it took effect
// if the row carries its id, and did not, nor ever will, if another write has
// made that version.
package storer
