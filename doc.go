// Package radishspoke defines the data types and interfaces that are shared by
// all packages of the serving system.
//
// Package transport and its subpackages carry bytes over the network. The
// packages in protocol define the messages between processes. The packages in
// coordination make the decisions, and the packages in state hold what a process
// knows about the fleet; these two groups do not import each other. Package
// platform is the interface to an external platform.
//
// The system runs in one of two deployments. In its own deployment, processes
// get a settings file in INI format and an Inventory, which contains Targets,
// Teams and Routes, and entries reach each target through its sidecar. On an
// external platform, which passes settings in the file named by the environment
// variable RADISHSPOKE_BOOT, entries read a RoutingTable, which contains
// PathRules, Groups and TeamRules, and a list of Instances, and call targets
// directly.
package radishspoke
