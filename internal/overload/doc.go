// Package overload decides, at one node, which requests are sent to the servers of a loaded service:
// whether a request is refused at once, which requests are preferred, whether a hedge or a retry is
// sent, and how many requests the node has open at a server. The package does no I/O, starts no
// goroutine and reads no clock.
package overload
