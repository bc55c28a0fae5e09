package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// TestCallersLeaveDescriptors guards against connections of callers that use up the descriptors which
// connections to backend servers and the store need, and against a configured limit above that of the
// process.
func TestCallersLeaveDescriptors(t *testing.T) {
	is := is.New(t)
	for _, descriptors := range []int{1, 64, 160, 1024, 65536} {
		connections := maxCallerConnections(descriptors)
		is.True(connections >= 1)
		is.True(connections == 1 || 2*connections+reservedDescriptors <= descriptors)
	}
	process := descriptorLimit(0)
	is.True(process > 0)
	is.Equal(descriptorLimit(process+1), process)
	is.Equal(descriptorLimit(10), 10)
}
