// Package sequencer decides whose prompt an engine reads next.
//
// An engine serves prompts one after the other, so sending it more than it can
// begin soon only moves the queue to where it can't be ordered any more. The
// sequencer keeps few prompts under way at each engine and orders the others:
// those that can still be answered on time go first, the earliest first; a
// bounded share of turns goes to those that are late already; and those that
// can't be answered before their deadline are sent away at once.
package sequencer
