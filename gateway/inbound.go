package gateway

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors is the number of descriptors for the listeners, the store, other nodes
	// and the runtime.
	reservedDescriptors = 32
	// descriptorsPerCaller is the number for a caller's connection and the one to a backend server.
	descriptorsPerCaller = 2
)

// descriptorLimit returns how many descriptors the process may open: the limit of the settings, 0 for
// none, or that of the process if it is lower.
func descriptorLimit(configured int) int {
	limit := math.MaxInt32
	if configured > 0 {
		limit = configured
	}
	var process unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &process); err == nil && process.Cur < uint64(limit) {
		limit = int(process.Cur)
	}
	return limit
}

// maxCallerConnections returns how many connections of callers leave enough of the descriptors for
// everything else.
func maxCallerConnections(descriptors int) int {
	return max(1, (descriptors-reservedDescriptors)/descriptorsPerCaller)
}

// logInbound counts a connection or request that was closed or refused because a limit on what
// callers send was reached (see membudget.Inbound), and logs it at a bounded rate.
func (o *observer) logInbound(what string) {
	o.inbound.Add(what, 1)
	if !o.logLimiter.Allow() {
		o.droppedLines.Add("inbound", 1)
		return
	}
	o.log.Info("limit on data or connections of callers reached", "event", what)
}
