// Package fanout brings what changes in a keyed topic to all nodes of a large fleet without each of them reading
// it from the store, whose reads all nodes share.
//
// One node, the coordinator, reads the topic, and tells all others how far it goes (package election). A node
// that knows less reads what is small from the store, and has what is large from other nodes: the coordinator
// gives it to a few, and sends the others to these, which do the same (Source, Fetch). Where nobody tells, or what
// is told grows old, nodes read the store themselves, not all at once (Guide).
package fanout
