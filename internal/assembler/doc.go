// Package assembler builds the processes of the daemon, entries and sidecars,
// from the packages that implement their functions.
//
// There are two variants, one for each kind of deployment:
//
//   - In radishspoke's own deployment, Entry and Sidecar communicate over sessions
//     and store their state in the table service. Processes get a settings file
//     and an inventory. Entries call each target through its sidecar and hold
//     rights by votes. Dev runs a complete deployment of this kind in one process,
//     for development and tests.
//   - On an external platform, FleetEntry and FleetSidecar get their settings from
//     the file that the platform passes to them. Entries exchange state by gossip
//     and call targets directly over HTTP.
package assembler
