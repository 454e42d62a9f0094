// Package throttler keeps the rates of requests that targets state that they take from all
// senders together, and divides each among the processes that send requests.
//
// Time is divided into slots. Each slot has as many permits for a target as its limit allows,
// and each permit belongs to one process, which is drawn by weighted rendezvous hashing of
// the target, the slot and the names of the processes. All processes draw the same without
// asking each other, as the slots follow the clock of the platform's store. Where they do not
// agree, as on the members or on the clock, a permit may belong to two processes or to none,
// but the expected sum is the limit. A process gets whole permits however small its share is.
//
// A cold target takes the rate that its group states. All processes then have the same weight, a
// permit can be used for a part of a second only, and by the request that is sent, not by the one
// that was picked for the target. A process that is not sure of its share uses no permits.
//
// The weights for stated limits follow the demand at each process, which the processes exchange, together with
// the limits, so that all of them know a limit that one has learned.
package throttler
