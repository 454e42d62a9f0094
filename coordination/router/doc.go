// Package router chooses the target of a request: the one with the shortest
// expected time to the end of the answer.
//
// The expected time is the sum of
//   - the network latency,
//   - the time to prefill the prompts that are queued at the target,
//   - the time to prefill the request's own prompt, without the blocks that the
//     target is assumed to have cached,
//   - the wait for a free slot, and
//   - the decode steps, which take longer as the batch grows.
//
// Load reports arrive late, but a process knows its own requests without delay.
// The router therefore subtracts from a report the requests that this process had
// at the target when the report was made, and adds those that it has there now.
//
// Processes that see the same reports would all choose the same target, so
// each compares only a random sample. The sampling follows Mitzenmacher, "The
// Power of Two Choices in Randomized Load Balancing", 2001, with three random
// targets by default instead of two, and with the targets that are assumed to
// hold the longest prefix of the prompt.
//
// The package runs in radishspoke's own deployment. Its counterpart on an external
// platform is fleetrouter.
package router
