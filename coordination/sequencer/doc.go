// Package sequencer decides which prompt an engine prefills next. It runs on an
// external platform; its counterpart in radishspoke's own deployment is package
// scheduler.
//
// An engine prefills prompts one after the other, so sending it more prompts
// than it can start soon only moves the queue to a place where it cannot be
// reordered. The sequencer keeps few prompts in flight at each engine and orders
// the others. A turn is the permission to send one prompt to an engine, and lasts
// until its prefill ends. Requests that can still be answered on time go first,
// the earliest time limit first. A bounded share of turns goes to requests that
// are already late. Requests that cannot be answered before their deadline are
// rejected at once.
package sequencer
