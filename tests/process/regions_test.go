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
	// regionDelay is the one-way delay between regions, platformDelay that of a call of the store, in ms.
	regionDelay   = 30
	platformDelay = 3
)

// remote spends tickets through a VM of another region, one after the other.
func remote(v *daemon, tickets []string) []answer {
	var out []answer
	for _, ticket := range tickets {
		out = append(out, confirm(v, ticket))
	}
	return out
}

// tickets takes n tickets from a VM.
func (f *fleet) tickets(v *daemon, n int) []string {
	f.t.Helper()
	var out []string
	for len(out) < n {
		var ticket string
		eventually(f.t, func() string { ticket = take(v); return ticket }).ShouldNot(gomega.BeEmpty())
		out = append(out, ticket)
	}
	return out
}

// awaitVersion waits until the VMs apply a version and logs how long the last one took. No VM may go back.
func (f *fleet) awaitVersion(vms []*daemon, want uint64, what string) {
	f.t.Helper()
	began := time.Now()
	for _, v := range vms {
		eventually(f.t, func() uint64 { return f.version(v) }).Should(gomega.Equal(want), "%s", v.id)
	}
	f.t.Logf("%s: version %d in force on %d VMs after at most %v", what, want, len(vms), time.Since(began).Round(time.Millisecond))
}

// TestRegions guards P4, P6 and P9 against the delay between regions: three failure domains are 30 ms apart in
// each direction and 3 ms from the store. Configurations reach all of them, requests that are forwarded to another
// region are answered once, and a holder is replaced and a region cut off and healed meanwhile.
func TestRegions(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.delay(regionDelay, platformDelay)
	f.prepare()
	a, b := f.in("a"), f.in("b")
	holder := f.waitHolder(a[0], nil)
	eventually(t, func() *daemon { return f.holder(b[0], "a") }).Should(gomega.Equal(holder))
	for i, v := range f.vms[:4] {
		ch := message.ConfigChange{PutPreset: &message.NamedPreset{Name: "p" + string(v.id)}}
		eventually(t, func() string { return f.change(v, ch) }).Should(gomega.BeEmpty())
		f.awaitVersion(f.vms, uint64(i+2), "change through "+string(v.id))
	}

	var answers []answer
	calm := remote(b[0], f.tickets(a[0], 20))
	g.Expect(tally(calm)).To(gomega.Equal(map[failure.Outcome]int{failure.Run: 20}), "%v", calm)
	answers = append(answers, calm...)

	var around []answer
	var wg conc.WaitGroup
	kept := f.tickets(a[0], 30)
	wg.Go(func() { around = remote(b[0], kept) })
	time.Sleep(300 * time.Millisecond)
	f.kill(holder)
	var rest *daemon
	for _, v := range a {
		if v != holder {
			rest = v
		}
	}
	next := f.waitHolder(rest, holder)
	eventually(t, func() model.VMID { return f.holder(b[0], "a").id }).Should(gomega.Equal(next.id), "known in the other region")
	wg.Wait()
	f.start(holder)
	answers = append(answers, around...)
	t.Logf("requests from another region around the kill: %v", tally(around))

	f.cutAndHeal(b[0], next)
	healed := remote(b[0], f.tickets(next, 10))
	g.Expect(tally(healed)[failure.Run]).To(gomega.BeNumerically(">", 0))
	answers = append(answers, healed...)
	f.checkAnswers(answers)
}

// cutAndHeal cuts region a off while operators change the configuration and callers send requests to it.
func (f *fleet) cutAndHeal(outside, inside *daemon) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	kept := f.tickets(inside, 3)
	before := f.version(outside)
	f.cut("a")
	during := make([]answer, len(kept))
	var wg conc.WaitGroup
	for i, ticket := range kept {
		wg.Go(func() { during[i] = confirm(outside, ticket) })
	}
	eventually(f.t, func() string { return f.change(outside, message.ConfigChange{TakeOut: "c"}) }).Should(gomega.BeEmpty())
	f.awaitVersion(append(f.in("b"), f.in("c")...), before+1, "change during the cut")
	time.Sleep(faultTime)
	for _, v := range f.in("a") {
		g.Expect(f.version(v)).To(gomega.BeNumerically("<=", before), "%s is cut off", v.id)
	}
	f.heal("a")
	f.awaitVersion(f.in("a"), before+1, "after the heal")
	eventually(f.t, func() *daemon { return f.holder(outside, "a") }).ShouldNot(gomega.BeNil())
	wg.Wait()
	f.t.Logf("requests to the region while it is cut off: %v", tally(during))
	f.checkAnswers(during)
}
