// Package sequencer decides which prompt an engine prefills next.
//
// An engine prefills prompts one after the other, so sending it more prompts
// than it can start soon only moves the queue to a place where it cannot be
// reordered. The sequencer keeps few prompts in flight at each engine and orders
// the others. Requests that can still be answered on time go first, the earliest
// limit first. A bounded share of turns goes to requests that are already late.
// Requests that cannot be answered before their deadline are rejected at once.
package sequencer
