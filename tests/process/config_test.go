package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/standins/store"
)

// TestOperatorsRace guards P9 against two operators who are both told that the same version is theirs, with
// answers of the store lost after the write took effect.
func TestOperatorsRace(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	f.control(f.store+store.PathFaults, store.Faults{LoseShare: 0.3, Seed: 1}, nil)
	const rounds = 8
	for round := range rounds {
		base := uint64(round + 1)
		codes := make([]string, len(f.vms))
		var wg conc.WaitGroup
		for i, v := range f.vms {
			wg.Go(func() {
				preset := message.NamedPreset{Name: fmt.Sprintf("r%d-%d", round, i)}
				codes[i] = f.changeFrom(v, base, message.ConfigChange{PutPreset: &preset})
			})
		}
		wg.Wait()
		accepted := 0
		for _, code := range codes {
			if code == "" {
				accepted++
				continue
			}
			g.Expect(code).To(gomega.Equal(failure.ConfigConflict.Code()))
		}
		g.Expect(accepted).To(gomega.Equal(1), "round %d: %v", round, codes)
		for _, v := range f.vms {
			eventually(t, func() uint64 { return f.version(v) }).Should(gomega.Equal(base+1), "%s", v.id)
		}
	}
}

// TestConfigAfterCut guards P9 against a failure domain that misses a change while it is cut off, and against
// a VM that comes back with the version that it had before.
func TestConfigAfterCut(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	f.cut("a")
	b := f.in("b")[0]
	eventually(t, func() string { return f.change(b, message.ConfigChange{TakeOut: "a"}) }).Should(gomega.BeEmpty())
	for _, v := range append(f.in("b"), f.in("c")...) {
		eventually(t, func() uint64 { return f.version(v) }).Should(gomega.Equal(uint64(2)), "%s", v.id)
	}
	restarted := f.in("c")[0]
	f.kill(restarted)
	f.control(f.store+store.PathFaults, store.Faults{Outage: true}, nil)
	f.start(restarted)
	eventually(t, func() uint64 { return f.version(restarted) }).Should(gomega.Equal(uint64(2)), "learned from peers in an outage")
	for _, v := range f.in("a") {
		g.Expect(f.version(v)).To(gomega.Equal(uint64(1)), "%s is cut off", v.id)
	}
	f.heal("a")
	healed := time.Now()
	for _, v := range f.in("a") {
		eventually(t, func() uint64 { return f.version(v) }).Should(gomega.Equal(uint64(2)), "%s", v.id)
	}
	t.Logf("version 2 in force in the healed failure domain after %v", time.Since(healed).Round(10*time.Millisecond))
}

// TestOldStore guards P9 against a store that comes back with an older document.
func TestOldStore(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.prepare()
	f.control(f.store+store.PathSnapshot, nil, nil)
	eventually(t, func() string { return f.change(f.vms[0], message.ConfigChange{TakeOut: "b"}) }).Should(gomega.BeEmpty())
	for _, v := range f.vms {
		eventually(t, func() uint64 { return f.version(v) }).Should(gomega.Equal(uint64(2)))
	}
	f.control(f.store+store.PathRestore, nil, nil)
	for range 30 {
		for _, v := range f.vms {
			g.Expect(f.version(v)).To(gomega.Equal(uint64(2)), "%s went back", v.id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, func() string { return f.change(f.vms[5], message.ConfigChange{BringIn: "b"}) }).Should(gomega.BeEmpty())
	for _, v := range f.vms {
		eventually(t, func() uint64 { return f.version(v) }).Should(gomega.Equal(uint64(3)))
	}
}
