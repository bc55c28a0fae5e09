package inbound

import (
	"math"

	"golang.org/x/sys/unix"

	"github.com/figweir/figweir/membudget"
)

const (
	// heapFraction is the fraction of the VM's memory that the Go heap may use.
	heapFraction = 0.6
	// answerFraction is the fraction of the VM's memory for buffering answers of backend servers.
	answerFraction = 0.125
	// inboundFraction is the fraction of the VM's memory for what clients send. With the answers and
	// the 20 MB of an idle process it leaves room below heapFraction for garbage.
	inboundFraction = 0.25
)

// MemoryMB is the memory of a VM in megabytes. Its methods return what is set aside of it.
type MemoryMB int

// HeapBytes returns the limit of the Go heap.
func (m MemoryMB) HeapBytes() int64 { return m.fraction(heapFraction) }

// AnswerBytes returns the memory for buffering answers of backend servers.
func (m MemoryMB) AnswerBytes() int64 { return m.fraction(answerFraction) }

// InboundBytes returns the memory for what clients send.
func (m MemoryMB) InboundBytes() int64 { return m.fraction(inboundFraction) }

func (m MemoryMB) fraction(f float64) int64 { return int64(f * float64(m) * (1 << 20)) }

// NewAccount returns the account of a process for what clients send on all its listeners, for at most
// maxConnections connections. See membudget.NewInbound for onClose.
func (m MemoryMB) NewAccount(maxConnections int, onClose func(what string)) *membudget.Inbound {
	return membudget.NewInbound(m.InboundBytes(), maxConnections, onClose)
}

const (
	// BodyCopies is how many copies of a body a handler makes that decodes it: the body in one piece,
	// the decoded fields, and what is sent on.
	BodyCopies = 3
	// bodySlackBytes is reserved beyond the end of a body whose length is not announced.
	bodySlackBytes = 64 << 10
)

// MaxDecodedBodyBytes returns the size of the largest body that handlers can read and decode.
func (m MemoryMB) MaxDecodedBodyBytes() int64 {
	return membudget.MaxBodyBytes(m.InboundBytes())/BodyCopies - bodySlackBytes
}

const (
	// reservedDescriptors is the number of descriptors for the listeners, the store, other nodes
	// and the runtime.
	reservedDescriptors = 32
	// descriptorsPerConnection is the number for a client's connection and the one to a backend server.
	descriptorsPerConnection = 2
)

// DescriptorLimit returns how many descriptors the process may open: the limit of the settings, 0 for
// none, or that of the process if it is lower.
func DescriptorLimit(configured int) int {
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

// MaxConnections returns how many connections of clients leave enough of the descriptors for everything
// else.
func MaxConnections(descriptors int) int {
	return max(1, (descriptors-reservedDescriptors)/descriptorsPerConnection)
}
