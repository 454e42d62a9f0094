// Package assembler builds the processes of the daemon, entries and sidecars,
// from the packages that implement their functions.
//
// There are two variants, one for each kind of deployment:
//
//   - In radishspoke's own deployment, Entry and Sidecar communicate over sessions
//     and store their state in the table service. Each process has a settings file,
//     and gets the inventory as part of the configuration, which the table holds.
//     Entries call each target through its sidecar. They hold the rights to the
//     budgets of teams by votes, and leases by rows in the table. Dev runs a complete
//     deployment of this kind in one process, for development and tests.
//   - On an external platform, FleetEntry and FleetSidecar get their settings from
//     the file that the platform passes to them. Entries exchange state by gossip.
//     They call targets directly over HTTP, except that requests whose prompts a
//     prefill engine processes may be relayed by the sidecar of that engine.
package assembler
