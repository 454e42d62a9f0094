// Package router chooses the target of a request: the one by which its answer
// is expected soonest.
//
// The expected time counts the way there, the prompt tokens that the target
// has still to read, its own prompt less what the target is thought to have
// cached, the wait for a free slot, and the decode steps, which slow down as
// the batch grows. A target's report is corrected by what this process has
// sent to it since. Two or more processes that see the same reports would all
// choose the same target, so each weighs a random sample.
//
// The sampling is after Mitzenmacher, "The power of two choices in randomized
// load balancing", 2001; the sample is larger, as targets differ in what they
// have cached.
package router
