// Package evacuator keeps which availability zones operators have ordered to evacuate. Targets
// there get no new requests and count towards no role.
//
// The list of zones at a position of the platform's store is a function of the position. A
// process keeps the list with the newest position that it has read or received, so that lists
// may arrive late, twice or out of order. See docs/design/evacuation.md.
package evacuator
