// Package validator decides whether a process may still trust its configuration
// while it cannot confirm it with the table service of the platform. A process
// that is cut off cannot distinguish an outage of the service from its own
// isolation. It may go on while a majority of the entries, including itself, has
// reported the same version as its own within MaxProofAge, and no entry has
// reported a newer version within that time. A configuration change is in force
// only once a majority of the entries has it. Any two majorities share an entry, so
// no majority can then support an older version.
package validator
