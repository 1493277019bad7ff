package fleet

import (
	"bytes"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/standins/link"
	storestandin "github.com/verbenaflow/verbenaflow/standins/metastore"
)

// setPeers writes the addresses of all other VMs into the settings of each VM.
func (f *fleet) setPeers() {
	f.t.Helper()
	for _, v := range f.vms {
		var peers []string
		for _, other := range f.vms {
			if other != v {
				peers = append(peers, other.relayAddress)
			}
		}
		text, err := os.ReadFile(v.settingsFile)
		if err != nil {
			f.t.Fatal(err)
		}
		text = bytes.Replace(text, []byte("peers =\n"), []byte("peers = "+strings.Join(peers, ",")+"\n"), 1)
		if err := os.WriteFile(v.settingsFile, text, 0o600); err != nil {
			f.t.Fatal(err)
		}
		_ = v.process().Signal(syscall.SIGHUP)
		f.eventually("the settings are reloaded", func() bool { return strings.Contains(f.logOf(v), peers[0]) })
	}
}

func (f *fleet) logOf(v *vm) string {
	f.t.Helper()
	text, err := os.ReadFile(v.logFile)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

const handedOver = "handed over because the store turns this VM away"

// TestStoreTurnsHolderAway guards against a fleet without a holder until the lease ends, because the store turns the
// holder alone away, and against work that is started again or stopped when another VM takes over.
func TestStoreTurnsHolderAway(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.awaitReady()
	f.setPeers()
	for range 2 {
		gang := f.mustSubmit(4, 2500*time.Millisecond, true)
		f.awaitState(gang, workload.StateRunning)
		v := f.holder()
		f.setPath(v.name, link.ModeRefuse, 0)
		f.eventually("another VM is the holder", func() bool { h := f.holder(); return h != nil && h != v })
		f.eventually("the holder knows that it has handed over", func() bool { return strings.Contains(f.logOf(v), handedOver) })
		next := f.mustSubmit(2, 50*time.Millisecond, false)
		f.awaitState(next, workload.StateCompleted)
		f.awaitState(gang, workload.StateCompleted)
		f.setPath(v.name, link.ModePass, 0)
		if runs := f.checkExecutors(); runs[gang] != 4 || runs[next] != 2 {
			t.Errorf("%d and %d runs of 4 and 2 tasks", runs[gang], runs[next])
		}
	}
}

// TestStoreTurnsAllAway guards against a holder that gives up its state because the store refuses all VMs: no other could
// take over.
func TestStoreTurnsAllAway(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.awaitReady()
	f.setPeers()
	gang := f.mustSubmit(4, 3*time.Second, true)
	f.awaitState(gang, workload.StateRunning)
	v := f.holder()
	f.store.SetFaults(storestandin.Faults{RefuseCalls: true})
	time.Sleep(1200 * time.Millisecond)
	f.store.SetFaults(storestandin.Faults{})
	f.awaitState(gang, workload.StateCompleted)
	f.awaitState(f.mustSubmit(2, 50*time.Millisecond, false), workload.StateCompleted)
	if strings.Contains(f.logOf(v), handedOver) {
		t.Errorf("%s gave up the fleet although the store refused all VMs", v.name)
	}
	if n := f.checkExecutors()[gang]; n != 4 {
		t.Errorf("%d runs of 4 tasks", n)
	}
}
