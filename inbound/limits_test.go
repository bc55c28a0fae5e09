package inbound

import (
	"testing"

	"github.com/matryer/is"
)

// TestClientsLeaveDescriptors guards against connections of clients that use up the descriptors which
// connections to backend servers and the store need, and against a configured limit above that of the
// process.
func TestClientsLeaveDescriptors(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{1, 64, 160, 1024, 65536} {
		connections := MaxConnections(descriptors)
		is.True(connections >= 1)
		is.True(connections == 1 || 2*connections+reservedDescriptors <= descriptors)
	}
	process := DescriptorLimit(0)
	is.True(process > 0)
	is.Equal(DescriptorLimit(process+1), process)
	is.Equal(DescriptorLimit(10), 10)
}
