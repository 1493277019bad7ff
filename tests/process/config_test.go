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

// TestOperatorsRace guards against two operators whose concurrent changes are both accepted as the same version (P9).
// The store loses some of its answers after the write took effect.
func TestOperatorsRace(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	f.callStandin(f.storeAddr+store.PathFaults, store.Faults{LoseAnswerShare: 0.3, Seed: 1}, nil)
	const rounds = 8
	for round := range rounds {
		base := uint64(round + 1)
		codes := make([]string, len(f.vms))
		var wg conc.WaitGroup
		for i, v := range f.vms {
			wg.Go(func() {
				preset := message.NamedPreset{Name: fmt.Sprintf("r%d-%d", round, i)}
				codes[i] = f.changeConfigFrom(v, base, message.ConfigChange{PutPreset: &preset})
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
			eventually(t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(base+1), "%s", v.id)
		}
	}
}

// TestConfigAfterCut guards against a failure domain that misses a change for good because it was partitioned at that
// time, and against a VM that returns to an older version after a restart during an outage of the store (P9).
func TestConfigAfterCut(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	f.partition("a")
	b := f.daemonsIn("b")[0]
	eventually(t, func() string { return f.changeConfig(b, message.ConfigChange{TakeOut: "a"}) }).Should(gomega.BeEmpty())
	for _, v := range append(f.daemonsIn("b"), f.daemonsIn("c")...) {
		eventually(t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(uint64(2)), "%s", v.id)
	}
	restarted := f.daemonsIn("c")[0]
	f.kill(restarted)
	f.callStandin(f.storeAddr+store.PathFaults, store.Faults{Outage: true}, nil)
	f.startDaemon(restarted)
	eventually(t, func() uint64 { return f.configVersion(restarted) }).Should(gomega.Equal(uint64(2)), "learned from peers during an outage of the store")
	for _, v := range f.daemonsIn("a") {
		g.Expect(f.configVersion(v)).To(gomega.Equal(uint64(1)), "%s is cut off", v.id)
	}
	f.heal("a")
	healed := time.Now()
	for _, v := range f.daemonsIn("a") {
		eventually(t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(uint64(2)), "%s", v.id)
	}
	t.Logf("version 2 in force in the failure domain %v after the partition", time.Since(healed).Round(10*time.Millisecond))
}

// TestOldStore guards against VMs that return to an older configuration when the store is restored from an older
// snapshot (P9).
func TestOldStore(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(t)
	f.applyFirstPreset()
	f.callStandin(f.storeAddr+store.PathSnapshot, nil, nil)
	eventually(t, func() string { return f.changeConfig(f.vms[0], message.ConfigChange{TakeOut: "b"}) }).Should(gomega.BeEmpty())
	for _, v := range f.vms {
		eventually(t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(uint64(2)))
	}
	f.callStandin(f.storeAddr+store.PathRestore, nil, nil)
	for range 30 {
		for _, v := range f.vms {
			g.Expect(f.configVersion(v)).To(gomega.Equal(uint64(2)), "%s returned to an older version", v.id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, func() string { return f.changeConfig(f.vms[5], message.ConfigChange{BringIn: "b"}) }).Should(gomega.BeEmpty())
	for _, v := range f.vms {
		eventually(t, func() uint64 { return f.configVersion(v) }).Should(gomega.Equal(uint64(3)))
	}
}
