// Package quota keeps what all nodes send for a workspace within the workspace's quota. It does no
// I/O.
//
// For each workspace three nodes, the granters, are chosen by rendezvous hashing among the listed
// nodes that this node has heard from recently. A request needs a permit for its amount. A node asks
// the first granter, and the next one if that does not answer. Granters take permits from a token
// bucket and notify each other of their grants. A node that reaches no granter takes permits from a
// bucket of its own that gets its share of the rate, the rate divided by the number of nodes.
//
// A granter that hears from a fraction of the listed nodes fills its bucket at that fraction of the
// rate. Once a network partition is noticed, both sides thus grant no more than the rate together,
// although neither side knows what the other one grants.
package quota
