// Package printer writes log lines without ever making their writers wait.
//
// Lines go through a bounded ring to a goroutine that writes them out. When the
// ring is more than half full, lines below the warning level are dropped, and
// when it is full all are; how many is written once there is room again.
package printer
