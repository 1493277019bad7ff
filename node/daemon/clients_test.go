package daemon

import (
	"testing"

	"github.com/verbenaflow/verbenaflow/api/names"
)

// TestDescriptors guards against connections of clients and of other VMs that together leave too few descriptors for files, the
// store and executors: a quarter and half of the rest is taken of what the platform doesn't reserve for files.
func TestDescriptors(t *testing.T) {
	const memory = 1 << 40
	for all, want := range map[int]struct{ clients, peers int }{
		4100: {975, 1430},
		512:  {78, 85},
	} {
		descriptors := connectionDescriptors(all)
		clients, peers := clientBudgets(names.Gateway, memory, descriptors)[names.Gateway].Connections, peerConnections(descriptors)
		if clients != want.clients || peers != want.peers {
			t.Errorf("%d descriptors: %d for clients and %d for other VMs, want %d and %d", all, clients, peers, want.clients, want.peers)
		}
		if left := all - fileDescriptors - clients - peers - 2*serviceConnections; left < peers {
			t.Errorf("%d descriptors: %d are left for the store and executors, want %d", all, left, peers)
		}
	}
	// The least number of the settings.
	if n := connectionDescriptors(64); n != 32 || clientBudgets(names.Gateway, memory, n)[names.Gateway].Connections != 8 {
		t.Errorf("64 descriptors: %d for connections", n)
	}
}
