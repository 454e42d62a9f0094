// Package estimator learns how long the engines of a group take, from their
// answers. It does no I/O.
//
// The prefill time of a prompt is modelled as a line over the number of tokens that
// the engine has to read. The line goes through a low quantile of the samples,
// because a prompt that waits behind others takes longer than its own prefill. What
// an engine takes beyond the line is its slowdown, which covers both slow engines
// and queues. Other times are quantiles of the samples.
//
// The first samples replace the first guess. Processes exchange what they have
// learnt, so that one that starts does not have to guess.
package estimator
