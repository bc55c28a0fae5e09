// Package once records claims for calls that must run at most once.
//
// A call with an idempotency key is claimed before it is sent. A claim is
// granted at most once until it is released, and only a claimer that never sent
// the call may release it. Claims are partitioned into hash ranges and stored
// in the platform's key-value service. Each range has a head record, which is
// changed by compare-and-swap only, and immutable segments that hold the
// entries of earlier heads.
//
// A Writer updates the head of one range. Several writers of one range are
// safe: a decision takes effect only through a compare-and-swap on the head
// that it was based on. A Claimer runs on the request path of a node. It
// locates the writer of a range through a Locator, so that this package doesn't
// import a transport.
package once
