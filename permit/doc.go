// Package permit holds what the packages quota and ratelimit share. Both keep what all nodes send
// together within a rate: some nodes, the granters, grant permits to all nodes. The package has the
// choice of the granters, their token bucket, and the sums of grants that they send to each other. It
// does no I/O.
package permit
