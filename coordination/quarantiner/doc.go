// Package quarantiner finds the parts of prompts on which engines end, and tells which
// prompts must not be sent to engines any more.
//
// When an engine ends, every generation on it breaks off, most of them of sound prompts.
// A part is blamed only if engines ended on it again and again, each time on a request
// that was sent after the previous end, and no generation with it was completed in the
// meantime. The ends of several engines at one moment, as when a host or an availability
// zone fails, therefore count once. Ends that one blamed part explains are not held
// against the parts that were on the same engine by chance.
//
// Processes exchange what they have seen, as the ends of different engines are mostly
// seen by different processes.
package quarantiner
