// Package storer is the client of the platform's services, which use JSON over
// HTTP.
//
// Each stored value contains the id of the write that stored it. If the response
// to a conditional write is lost, the client reads the row back: the write took
// effect if the row has its id. It did not and never will take effect if another
// write has created that version of the row.
//
// Package storer is used in radishspoke's own deployment. Its counterpart on an
// external platform is package platform.
package storer
