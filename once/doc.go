// Package once records claims for calls that must not be repeated.
//
// A call with an idempotency key is claimed before it is sent. A claim is
// granted at most once until it is released, and it may be released only by the
// claimer that never sent the call. Claims are kept in hash ranges in the
// platform's key-value service. Each range has a head record, changed by
// compare-and-swap only, and immutable segments with the entries of earlier
// heads.
//
// A Writer changes the head of one range. Several writers of one range do no
// harm: a decision takes effect only through a compare-and-swap on the head
// that it was based on. A Claimer is used on the request path of a node and
// finds the writer of a range through a function, so that this package imports
// no transport.
package once
