// Package budgeter bounds the memory and the connections that clients can make a process hold.
//
// A Budget is shared by the HTTP servers of a process. Protect makes a server charge its
// connections, heads and requests to it, and ReadBody and ReadAhead charge the buffers of
// bodies and answers. At the limit, what costs ordinary callers least is closed or refused:
// incomplete heads, idle connections, bodies without progress, and then bodies of the key or
// address that holds the most. A request that runs and an answer are never taken back.
package budgeter
