// Package authority decides which process may send orders to engines, orders to
// the platform, and usage reports.
//
// A Duty is a leased record in the store that selects the process that may act.
// The lease alone does not prevent conflicting orders, because a process may be
// paused between checking its lease and sending an order. The Journal closes
// this gap: in one unleased record per duty, an intent is opened before an
// order is sent and closed after a definite response. An open intent of another
// process blocks its target until one of the closing rules shows that the order
// can no longer arrive:
//
//   - the writer closes it;
//   - a later incarnation at the writer's VM address closes it after the
//     connection timeout;
//   - the platform's VM list shows that the writer's VM no longer exists;
//   - the target was replaced by one with a higher generation.
//
// A target that checks fencing tokens is not blocked. It is taken over with a
// fencing order that carries a higher token.
package authority
