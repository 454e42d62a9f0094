// Package quarantiner finds the requests, and the parts of prompts, that crash targets, and
// tells which requests must not be sent to targets any more.
//
// When a target crashes, every request on it breaks off, most of them sound. A part is
// quarantined only if engines crashed on it again and again, each time on a request that was
// sent after the previous crash, and no generation with it was completed in the meantime. A
// whole request is quarantined if targets crashed on its repetitions at several moments, and
// none was completed. The crashes of several targets at one moment, as when a host or an
// availability zone fails, therefore count once. Crashes that one quarantined cause explains
// do not count for what was on the same target by chance. Requests that can't be told apart,
// as they were on the same crashed targets, are refused for a short time and then tried again.
//
// Processes exchange what they have seen, as the crashes of different engines are mostly
// seen by different processes.
package quarantiner
