// Package authority decides which process may send orders to engines, orders
// to the platform and usage reports.
//
// A Duty is a leased record in the store that picks the process that tries to
// act. It is not what keeps orders apart: a process may be paused between the
// check of its lease and the sending of an order. That gap is closed by the
// Journal, one unleased record per duty in which an intent is opened before
// an order is sent and closed after a definite answer. An open intent of
// another process blocks its target until one of the closing rules shows that
// the order can no longer arrive:
//
//   - the writer closes it;
//   - a later incarnation on the writer's VM address closes it after the
//     connection time-out;
//   - the platform's VM list shows that the writer's VM is gone;
//   - the target was replaced by one of a greater generation.
//
// A target that checks fencing tokens is not blocked; it is taken over with a
// fencing order of a greater token.
package authority
