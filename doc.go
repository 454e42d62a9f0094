// Package radishspoke defines the data types and interfaces that are shared by
// all packages of the serving system.
//
// Package transport and its subpackages carry bytes over the network. The
// packages in protocol define the messages between processes. The packages in
// coordination make the decisions, and the packages in state hold what a process
// knows about the fleet. Package platform is the interface to an external
// platform.
//
// The groups are layered: protocol is the lowest, transport is above it, and
// coordination and state are above transport and do not import each other.
// Outside of tests, a package in these groups imports only this package, packages
// of its own and lower groups, and helpers in internal. The one exception is
// transport/gateway, which imports coordination/authenticator.
//
// The system runs in one of two deployments. In its own deployment, processes
// get a settings file in INI format and an Inventory, which contains Targets,
// Teams and Routes, and entries reach each target through its sidecar. On an
// external platform, which passes the settings file (see
// platform.SettingsVariable), entries read a RoutingTable, which contains
// PathRules, Groups and TeamRules, and a list of Instances. They call targets
// directly, except that requests with a long prompt may go through the sidecar of
// a prefill engine.
package radishspoke
