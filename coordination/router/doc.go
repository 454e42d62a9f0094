// Package router chooses the target of a request: the one by which its answer
// is expected soonest.
//
// The expected time counts the way there, the prompt tokens that the target
// has still to read, its own prompt less what the target is thought to have
// cached, the wait for a free slot, and the decode steps, which slow down as
// the batch grows. Of a target's report only what other processes have there is
// used, as this process knows its own share without delay. Two or more processes
// that see the same reports would all choose the same target, so each weighs a
// random sample.
//
// The sampling is after Mitzenmacher, "The power of two choices in randomized
// load balancing", 2001; the sample is larger by one, and
// joined by the targets thought to hold the prompt's prefix.
package router
