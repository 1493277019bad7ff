package authority_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/authority"
)

func init() { testseed.Fix("100") }

type key struct {
	version uint64
	record  authority.Record
	lease   uint64
}

type vm struct {
	id     model.VMID
	m      *authority.Machine
	calls  []authority.Call
	late   []authority.Result
	wake   authority.Wake
	wakeAt time.Time
	last   model.Epoch
	paused bool
	dead   bool
}

// world is a store, workers and VMs. It is the oracle: grants lists who announced each store epoch.
type world struct {
	t       *rapid.T
	now     time.Time
	version uint64
	leases  map[uint64]time.Time
	holder  key
	epoch   key
	outage  bool
	split   bool
	// lostLeases is set once the store has lost leases before their time.
	lostLeases bool
	vms        []*vm
	workers    []model.Epoch
	accepted   map[string]model.VMID
	grants     map[model.Epoch]model.VMID
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), leases: map[uint64]time.Time{}, workers: make([]model.Epoch, 3),
		accepted: map[string]model.VMID{}, grants: map[model.Epoch]model.VMID{},
	}
	for i := range 3 {
		id := model.VMID(fmt.Sprintf("v%d", i))
		w.vms = append(w.vms, &vm{id: id, m: authority.New(id, string(id))})
	}
	for _, v := range w.vms {
		w.step(v, authority.Started{})
	}
	return w
}

func (w *world) step(v *vm, e authority.Event) {
	for _, a := range v.m.Step(e, w.now) {
		switch a := a.(type) {
		case authority.Call:
			v.calls = append(v.calls, a)
		case authority.Wake:
			v.wake, v.wakeAt = a, w.now.Add(a.Delay)
		case authority.Announce:
			w.announced(v, a)
		}
	}
}

func (w *world) announced(v *vm, a authority.Announce) {
	if !a.Holder {
		return
	}
	if !v.last.Less(a.Epoch) {
		w.t.Fatalf("%s announced %s after %s", v.id, a.Epoch, v.last)
	}
	v.last = a.Epoch
	if other, ok := w.grants[a.Epoch]; ok && other != v.id && a.Epoch.Outage == 0 {
		w.t.Fatalf("%s and %s both won %s", other, v.id, a.Epoch)
	}
	w.grants[a.Epoch] = v.id
}

// apply executes a call at the store.
func (w *world) apply(c authority.Call) authority.Result {
	if until, ok := w.leases[w.holder.lease]; w.holder.version != 0 && (!ok || !w.now.Before(until)) {
		w.holder = key{}
	}
	r := authority.Result{ID: c.ID, Status: authority.OK}
	until, alive := w.leases[c.Lease]
	alive = alive && w.now.Before(until)
	put := func(k *key, lease uint64) {
		if k.version != c.Version {
			r.Status, r.Version, r.Record = authority.Conflict, k.version, k.record
			return
		}
		w.version++
		*k = key{version: w.version, record: c.Record, lease: lease}
	}
	switch c.Op {
	case authority.Grant:
		w.version++
		w.leases[w.version], r.Lease = w.now.Add(authority.LeaseTTL), w.version
	case authority.KeepAlive, authority.PutHolder:
		switch {
		case !alive:
			r.Status = authority.LeaseExpired
		case c.Op == authority.PutHolder:
			put(&w.holder, c.Lease)
		default:
			w.leases[c.Lease] = w.now.Add(authority.LeaseTTL)
		}
	case authority.Revoke:
		delete(w.leases, c.Lease)
	case authority.PutEpoch:
		put(&w.epoch, 0)
	case authority.GetEpoch:
		r.Version, r.Record = w.epoch.version, w.epoch.record
	default:
		r.Version, r.Record = w.holder.version, w.holder.record
	}
	return r
}

// answer executes the oldest call of a VM; fate 1 loses the answer, 2 loses the call and 3 delays the answer.
func (w *world) answer(v *vm, fate int) {
	for len(v.late) > 0 && !v.paused && !v.dead {
		r := v.late[0]
		v.late = v.late[1:]
		w.step(v, r)
	}
	if len(v.calls) == 0 || v.dead || v.paused && fate != 3 {
		return
	}
	c := v.calls[0]
	v.calls = v.calls[1:]
	r := authority.Result{ID: c.ID, Status: authority.Lost}
	if !w.outage && fate != 2 {
		if r = w.apply(c); fate == 1 {
			r = authority.Result{ID: c.ID, Status: authority.Lost}
		}
	}
	if fate == 3 {
		v.late = append(v.late, r)
		return
	}
	w.step(v, r)
}

// run lets all VMs work for some rounds with the given faults.
func (w *world) run(rounds int, fate func() int) {
	for range rounds {
		for i, v := range w.vms {
			w.answer(v, fate())
			w.heartbeat(v)
			w.command(v, i)
		}
		w.advance(250 * time.Millisecond)
	}
}

// race pauses a VM whose write of the epoch key is on its way until its lease is gone and the others elected.
func (w *world) race(v *vm, rounds int) {
	w.lostLeases = true
	clear(w.leases)
	for range 20 {
		if len(v.calls) > 0 && v.calls[0].Op == authority.PutEpoch {
			break
		}
		w.answer(v, 0)
		w.advance(100 * time.Millisecond)
	}
	paused := v.paused
	v.paused = true
	clear(w.leases)
	w.run(rounds, func() int { return 0 })
	v.paused = paused
	w.answer(v, 0)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, v := range w.vms {
		if !v.paused && !v.dead && v.wake.Number != 0 && !w.now.Before(v.wakeAt) {
			v.wakeAt = w.now.Add(time.Hour)
			w.step(v, authority.Woken{Number: v.wake.Number})
		}
	}
}

// command sends a command of a VM to a worker, which grants only higher epochs and one VM for each.
func (w *world) command(v *vm, worker int) {
	e := v.m.Epoch()
	if e.IsZero() || v.paused || v.dead {
		return
	}
	k := fmt.Sprintf("%d/%s", worker, e)
	if owner, ok := w.accepted[k]; e.Less(w.workers[worker]) || ok && owner != v.id {
		w.step(v, authority.Refused{Epoch: w.workers[worker]})
		if v.m.Epoch() == e {
			w.t.Fatalf("%s keeps %s after worker %d accepted %s", v.id, e, worker, w.workers[worker])
		}
		return
	}
	w.workers[worker], w.accepted[k] = e, v.id
}

// heartbeat shows a VM the state of the others.
func (w *world) heartbeat(v *vm) {
	if v.paused || v.dead {
		return
	}
	var peers []model.Member
	for _, o := range w.vms {
		if o != v {
			m := model.Member{VM: o.id, Alive: !o.paused && !o.dead && !w.split, Holder: o.m.Epoch()}
			if m.Alive {
				m.LastHeard = w.now
			}
			peers = append(peers, m)
		}
	}
	w.step(v, authority.Members{Peers: peers})
}

func (w *world) holders() (out []*vm) {
	for _, v := range w.vms {
		if !v.dead && !v.m.Epoch().IsZero() {
			out = append(out, v)
		}
	}
	return out
}

// settle heals every fault and runs until the competition is decided. Without talk the VMs learn of each
// other through the store only.
func (w *world) settle(talk bool) {
	w.outage, w.split = false, false
	for _, v := range w.vms {
		v.paused = false
	}
	for range 400 {
		for _, v := range w.vms {
			w.answer(v, 0)
			if talk {
				w.heartbeat(v)
				w.command(v, 0)
			}
		}
		w.advance(100 * time.Millisecond)
	}
}

// TestCompetition guards against two VMs that win one store epoch, a VM whose epochs do not grow, a VM that
// stays holder although a worker refused it or the epoch key is higher, and a failure domain without a
// holder after all faults ended.
func TestCompetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pick := func() *vm { return w.vms[rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) { w.answer(pick(), rapid.IntRange(0, 3).Draw(t, "fate")) },
			"run": func(t *rapid.T) {
				rounds := rapid.IntRange(1, 30).Draw(t, "rounds")
				w.run(rounds, func() int { return rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "fate") })
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{500, 1000, 4000}).Draw(t, "ms")) * time.Millisecond)
			},
			"race":      func(t *rapid.T) { w.race(pick(), rapid.IntRange(1, 16).Draw(t, "rounds")) },
			"split":     func(*rapid.T) { w.split = !w.split },
			"outage":    func(*rapid.T) { w.outage = !w.outage },
			"pause":     func(*rapid.T) { v := pick(); v.paused = !v.paused },
			"command":   func(t *rapid.T) { w.command(pick(), rapid.IntRange(0, 2).Draw(t, "worker")) },
			"heartbeat": func(*rapid.T) { w.heartbeat(pick()) },
			"": func(t *rapid.T) {
				for i, e := range w.workers {
					if v, ok := w.grants[e]; !e.IsZero() && !ok {
						t.Fatalf("worker %d accepted %s, which %s never won", i, e, v)
					}
				}
			},
		})
		w.settle(false)
		for _, v := range w.holders() {
			if e := v.m.Epoch(); !w.lostLeases && e.Store < w.epoch.record.Epoch {
				t.Fatalf("%s keeps %s while the epoch key is at %d", v.id, e, w.epoch.record.Epoch)
			}
		}
		w.settle(true)
		if h := w.holders(); len(h) != 1 || h[0].m.Epoch().Outage != 0 {
			t.Fatalf("%d holders after all faults ended", len(h))
		}
	})
}

// TestOutageClaim guards against a failure domain that stays without a holder when the holder dies in a
// store outage, and against a claimant that keeps its claim once the store returns.
func TestOutageClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle(true)
		old := w.holders()[0]
		before := old.m.Epoch()
		w.outage, old.dead = true, true
		for range 100 {
			for _, v := range w.vms {
				w.answer(v, 0)
				w.heartbeat(v)
			}
			w.advance(100 * time.Millisecond)
		}
		h := w.holders()
		if len(h) != 1 || h[0].m.Epoch() != (model.Epoch{Store: before.Store, Outage: 1}) {
			t.Fatalf("%d claimants after the holder of %s died", len(h), before)
		}
		w.settle(true)
		if e := h[0].m.Epoch(); e.Outage != 0 || e.Store <= before.Store {
			t.Fatalf("claimant holds %s after the store returned", e)
		}
	})
}

// TestDrain guards against a handover that leaves the lease to expire or skips the closing record.
func TestDrain(t *testing.T) {
	w := newWorld(nil)
	w.settle(true)
	v := w.holders()[0]
	actions := v.m.Step(authority.Drain{}, w.now)
	if len(actions) != 1 || actions[0] != (authority.CloseLog{Epoch: v.last}) {
		t.Fatalf("drain: %v", actions)
	}
	w.step(v, authority.LogClosed{})
	if c := v.calls[len(v.calls)-1]; c.Op != authority.Revoke || !v.m.Epoch().IsZero() {
		t.Fatalf("after the closing record: %v", c)
	}
}

// TestPausedHolder guards against a holder that keeps its epoch after a pause longer than its lease, when
// only the store can tell it that a peer was elected.
func TestPausedHolder(t *testing.T) {
	w := newWorld(nil)
	w.settle(true)
	old := w.holders()[0]
	old.paused = true
	for range 200 {
		for _, v := range w.vms {
			w.answer(v, 0)
		}
		w.advance(100 * time.Millisecond)
	}
	if len(w.holders()) != 2 {
		t.Fatal("no peer was elected during the pause")
	}
	w.settle(false)
	if h := w.holders(); len(h) != 1 || h[0] == old {
		t.Fatalf("%d holders after the pause; the old one holds %s", len(h), old.m.Epoch())
	}
}
