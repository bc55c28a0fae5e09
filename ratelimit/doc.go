// Package ratelimit keeps the requests of all nodes to a backend server within the rate that
// the server states in its answers. It does no I/O.
//
// For each limited server three nodes, the granters, are chosen by rendezvous hashing. A node
// sends a request to a limited server only with a permit. It asks the first granter for permits
// when its requests need them, and the next one if that does not answer. A granter takes permits
// from a token bucket that is filled at the stated rate. Granters tell each other what they have
// granted, so that the sum holds when nodes disagree about which of them is the first. A node
// that reaches no granter sends nothing to the server.
//
// Nodes tell each other when a server begins or ceases to state a limit. What an answer to a
// request of this node shows takes precedence over what other nodes report.
package ratelimit
