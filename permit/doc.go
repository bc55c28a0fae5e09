// Package permit holds what the packages share that keep the sum over all nodes within a rate: the
// choice of the nodes that grant permits, the token bucket from which they grant, and the sums that
// granters tell each other. It does no I/O.
package permit
