// Package fanout distributes changes of a keyed topic to all nodes of a large fleet without each of them
// reading the topic from the store, whose read capacity all nodes share.
//
// One node, the coordinator, reads the topic and announces its end to all others (package election). A node
// that is behind reads small records from the store and fetches large ones from other nodes: the
// coordinator serves a few nodes and redirects the others to these, which do the same (Source, Fetch).
// Without an announcement, or once it is stale, nodes read the store themselves, spread over time (Guide).
package fanout
