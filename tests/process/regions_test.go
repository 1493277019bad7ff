package process

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// regionDelayMS is the one-way delay between regions, storeDelayMS the delay of each call of the store.
	regionDelayMS = 30
	storeDelayMS  = 3
)

// sendEach sends one request for each ticket through a VM, one after the other.
func sendEach(v *daemon, tickets []string) []requestResult {
	var out []requestResult
	for _, ticket := range tickets {
		out = append(out, sendNonRepeatable(v, ticket))
	}
	return out
}

// tickets takes n tickets of a VM's failure domain.
func (f *fleet) tickets(v *daemon, n int) []string {
	f.t.Helper()
	var out []string
	for len(out) < n {
		var ticket string
		eventually(f.t, func() string { ticket = takeTicket(v); return ticket }).ShouldNot(gomega.BeEmpty())
		out = append(out, ticket)
	}
	return out
}

// awaitVersion waits until the VMs apply a version of the configuration and logs how long all of them took.
func (f *fleet) awaitVersion(vms []*daemon, want uint64, cause string) {
	f.t.Helper()
	began := time.Now()
	for _, v := range vms {
		eventually(f.t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(want), "%s", v.id)
	}
	f.t.Logf("%s: version %d in force on %d VMs after at most %v", cause, want, len(vms), time.Since(began).Round(time.Millisecond))
}

// TestRegions guards against failures that the delay between regions causes (P4, P6, P9): configurations that do not
// reach all VMs, and requests forwarded to another region that run twice or get a wrong response, also while a holder
// is replaced or a region is partitioned. Three failure domains are 30 ms apart in each direction and 3 ms from the
// store.
func TestRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.setDelays(regionDelayMS, storeDelayMS)
	f.applyFirstPreset()
	a, b := f.daemonsIn("a"), f.daemonsIn("b")
	holder := f.awaitHolder(a[0], nil)
	eventually(t, func() *daemon { return f.holder(b[0], "a") }).Should(gomega.Equal(holder))
	for i, v := range f.vms[:4] {
		ch := message.ConfigChange{PutPreset: &message.NamedPreset{Name: "p" + string(v.id)}}
		eventually(t, func() string { return f.changeConfig(v, ch) }).Should(gomega.BeEmpty())
		f.awaitVersion(f.vms, uint64(i+2), "change through "+string(v.id))
	}

	var results []requestResult
	beforeKill := sendEach(b[0], f.tickets(a[0], 20))
	g.Expect(countOutcomes(beforeKill)).To(gomega.Equal(map[failure.Outcome]int{failure.Run: 20}), "%v", beforeKill)
	results = append(results, beforeKill...)

	var aroundKill []requestResult
	var wg conc.WaitGroup
	issued := f.tickets(a[0], 30)
	wg.Go(func() { aroundKill = sendEach(b[0], issued) })
	time.Sleep(300 * time.Millisecond)
	f.kill(holder)
	var survivor *daemon
	for _, v := range a {
		if v != holder {
			survivor = v
		}
	}
	next := f.awaitHolder(survivor, holder)
	eventually(t, func() model.VMID { return f.holder(b[0], "a").id }).Should(gomega.Equal(next.id), "known in the other region")
	wg.Wait()
	f.startDaemon(holder)
	results = append(results, aroundKill...)
	t.Logf("requests from another region around the kill: %v", countOutcomes(aroundKill))

	f.partitionAndHeal(b[0], next)
	afterHeal := sendEach(b[0], f.tickets(next, 10))
	g.Expect(countOutcomes(afterHeal)[failure.Run]).To(gomega.BeNumerically(">", 0))
	results = append(results, afterHeal...)
	f.checkResults(results)
}

// partitionAndHeal partitions region a while operators change the configuration and callers send requests to it.
func (f *fleet) partitionAndHeal(outside, inside *daemon) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	issued := f.tickets(inside, 3)
	before := f.configVersion(outside)
	f.partition("a")
	during := make([]requestResult, len(issued))
	var wg conc.WaitGroup
	for i, ticket := range issued {
		wg.Go(func() { during[i] = sendNonRepeatable(outside, ticket) })
	}
	eventually(f.t, func() string { return f.changeConfig(outside, message.ConfigChange{TakeOut: "c"}) }).Should(gomega.BeEmpty())
	f.awaitVersion(append(f.daemonsIn("b"), f.daemonsIn("c")...), before+1, "change during the partition")
	time.Sleep(faultDuration)
	for _, v := range f.daemonsIn("a") {
		g.Expect(f.configVersion(v)).To(gomega.BeNumerically("<=", before), "%s is cut off", v.id)
	}
	f.heal("a")
	f.awaitVersion(f.daemonsIn("a"), before+1, "after the partition")
	eventually(f.t, func() *daemon { return f.holder(outside, "a") }).ShouldNot(gomega.BeNil())
	wg.Wait()
	f.t.Logf("requests to the region while it is cut off: %v", countOutcomes(during))
	f.checkResults(during)
}
