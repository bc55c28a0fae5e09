// Package configsync distributes each configuration revision to all nodes and
// decides whether a node may serve requests with the revision that it has.
//
// Two relays in each failure domain watch the configuration head in the store,
// load changed parts and push them to the members of their failure domain. A
// node that receives a heartbeat with a greater revision pulls that revision.
// Having more relays is harmless, because a node installs only a greater
// revision.
//
// An operator's change is accepted when it is stored and in force on more than
// half of the listed VMs. One evidence window later, no node serves with an
// older revision: a fresh node has every revision that was in the store at the
// time of a recent read, and a node that serves by majority has exchanged
// heartbeats with a node that acknowledged the revision.
package configsync
