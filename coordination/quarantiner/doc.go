// Package quarantiner finds the parts of prompts that crash engines, and tells which
// prompts must not be sent to engines any more.
//
// When an engine crashes, every generation on it breaks off, most of them of sound prompts.
// A part is quarantined only if engines crashed on it again and again, each time on a
// request that was sent after the previous crash, and no generation with it was completed
// in the meantime. The crashes of several engines at one moment, as when a host or an
// availability zone fails, therefore count once. Crashes that one quarantined part explains
// do not count for the parts that were on the same engine by chance.
//
// Processes exchange what they have seen, as the crashes of different engines are mostly
// seen by different processes.
package quarantiner
