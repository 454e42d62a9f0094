// Package assembler builds the processes of the daemon, entries and sidecars,
// from the packages that implement their functions.
//
// There are two variants. Entry and Sidecar communicate over sessions and store
// their state in the table service. FleetEntry and FleetSidecar run on the
// users' platform, where entries exchange state by gossip and make calls over
// HTTP. Dev runs a complete deployment of the first variant in one process, for
// development and tests.
package assembler
