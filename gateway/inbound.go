package gateway

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are for the listeners, the store, other nodes and the runtime.
	reservedDescriptors = 32
	// descriptorsPerCaller are those of a caller's connection and of the one to a backend server.
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

// logInbound counts what was closed or refused for want of room for what callers send, and logs it at
// a bounded rate.
func (o *observer) logInbound(what string) {
	o.inbound.Add(what, 1)
	if !o.logLimiter.Allow() {
		o.droppedLines.Add("inbound", 1)
		return
	}
	o.log.Info("no room for what callers send", "event", what)
}
