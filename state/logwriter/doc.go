// Package logwriter writes log lines without blocking the goroutines that log.
//
// Lines are passed through a bounded queue to a goroutine that writes them. While
// the queue is more than half full, lines below the warning level are dropped,
// and while it is full, all lines are. The number of dropped lines is logged once
// the queue is empty again.
package logwriter
