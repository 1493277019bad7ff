package fleet

import (
	"cmp"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Another writer may overwrite the registry entry of an executor for a while. An address from the registry is therefore
// only a hint: an executor that may run tasks is called at the address where it last answered until that one fails, and
// failures at any other address do not show that its runs have ended.

// atProvenAddress reports whether calls go to the address at which the executor last answered, so that another executor
// there shows that its process has ended.
func (e *executor) atProvenAddress() bool {
	return e.provenAddress == "" || e.address == e.provenAddress
}

// proveAddress records that the executor has answered at the address of its calls.
func (e *executor) proveAddress() { e.provenAddress = e.address }

// inheritAddress applies the address at which an earlier holder reached the executor.
func (e *executor) inheritAddress(address string) {
	if !e.verified && address != "" {
		e.address, e.provenAddress = address, address
	}
}

// register applies a registry entry.
func (e *executor) register(info workload.Executor) {
	e.info, e.rack, e.registered = info, info.Rack(), true
	if info.Address == "" || e.address == info.Address {
		return
	}
	if mayRun := len(e.dispatchedRuns()) > 0 || !e.verified; mayRun && e.provenAddress != "" {
		return
	}
	e.address, e.provenAddress = info.Address, ""
	e.verified = false
}

// tryOtherAddress makes the next call go to the other one of the proven and the registered address, after a call to
// the present one has failed.
func (e *executor) tryOtherAddress() {
	if e.provenAddress == "" || e.info.Address == "" || e.provenAddress == e.info.Address {
		return
	}
	if e.address == e.provenAddress {
		e.address = e.info.Address
	} else {
		e.address = e.provenAddress
	}
}

// forgetAddress makes calls go to the registered address, after the process at the proven one has ended.
func (e *executor) forgetAddress() {
	e.provenAddress = ""
	e.address = cmp.Or(e.info.Address, e.address)
}
