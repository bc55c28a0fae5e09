// Package configsync brings every revision of the configuration to all nodes
// and decides whether a node may serve by the revision that it has.
//
// Two relays in each failure domain watch the head in the store, load changed
// parts and push them to the members of their failure domain. A node that hears
// of a greater revision in a heartbeat pulls it. Several relays at once are
// harmless, because a node applies only a greater revision.
//
// An operator's change is accepted when the store has it and more than half of
// the listed VMs have it in force. From one evidence window after that, no node
// that serves has an older revision: a fresh node has every revision that was in
// the store at the time of a recent read, and a node that serves by majority
// has exchanged heartbeats with a node that acknowledged the revision.
package configsync
