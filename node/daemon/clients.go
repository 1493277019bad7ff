package daemon

import (
	"runtime/debug"
	"syscall"

	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/budget"
	"github.com/verbenaflow/verbenaflow/platform/listener"
)

const (
	// fileDescriptors are the descriptors that the platform reserves for files; connections share the others.
	fileDescriptors = 200
	// clientDescriptorPart is the part of these that clients may take. The others are for executors, the store and
	// other VMs: the holder of 297 VMs has 4,652 connections (docs/CAPACITY.md).
	clientDescriptorPart = 4
	// clientPlacePart is the part of the clients' memory that their connections may take before they send a body.
	clientPlacePart = 2
	// keptPart is the part of the clients' memory that large bodies leave to small ones.
	keptPart = 8
	// smallBodyBytes is the size of a small body. A specification has at most 4,000 bytes.
	smallBodyBytes = 6 << 10
	// serviceConnections is the number of connections of readiness checks, and of readers of metrics. Each has one.
	serviceConnections = 32
	// peerDescriptorPart is the part of the descriptors besides those of clients that other VMs may take. The rest is for the
	// store and executors.
	peerDescriptorPart = 2
)

// connectionDescriptors returns the descriptors for connections. A process with few of them opens few files, and keeps half.
func connectionDescriptors(all int) int { return max(all-fileDescriptors, all/2) }

// peerConnections returns the most connections of other VMs. Readiness checks and readers of metrics, which seldom have many,
// do not take the places of other VMs at a VM with few descriptors.
func peerConnections(descriptors int) int {
	return max(descriptors-descriptors/clientDescriptorPart-2*serviceConnections, descriptors/clientDescriptorPart) / peerDescriptorPart
}

// clientBudgets returns the budgets of the listeners, whose clients may take memory bytes together and a part of the
// descriptors for connections. front is the name of the listener for client calls.
func clientBudgets(front string, memory int64, descriptors int) map[string]budget.Settings {
	places := min(descriptors/clientDescriptorPart, int(memory/clientPlacePart/listener.ConnectionBytes))
	others := budget.Settings{
		Total: 2 * serviceConnections * listener.ConnectionBytes, Connections: serviceConnections, ConnectionBytes: listener.ConnectionBytes,
	}
	return map[string]budget.Settings{
		front: {
			Total: memory, Kept: memory / keptPart, Small: listener.RequestBytes(smallBodyBytes),
			Connections: places, ConnectionBytes: listener.ConnectionBytes,
		},
		names.ReadyListener: others,
		names.Admin:         others,
	}
}

// descriptorLimit returns the smaller one of the limit of the settings, if it is not 0, and that of the process.
func descriptorLimit(fromSettings int) int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil || l.Cur > 1<<20 {
		l.Cur = 1 << 20
	}
	if fromSettings > 0 {
		return min(fromSettings, int(l.Cur))
	}
	return int(l.Cur)
}

// checkpointMemoryPart is the part of the VM's memory that large checkpoints in the reports of executors may take. A report takes about
// three times the memory of its checkpoints while it is read.
const checkpointMemoryPart = 16

// minOutsideRuntime is the least memory left outside the limit of the Go runtime: the pages of the program, about 10 MB, and
// what the kernel holds for its sockets.
const minOutsideRuntime = 16 << 20

// limitRuntimeMemory makes the garbage collector run more often before the VM's memory is used up.
func limitRuntimeMemory(memory int64) {
	debug.SetMemoryLimit(memory - max(memory/8, minOutsideRuntime))
}
