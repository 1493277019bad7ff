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

func init() { testseed.SetFlags("100") }

type key struct {
	version uint64
	record  authority.Record
	lease   uint64
}

type vm struct {
	id             model.VMID
	m              *authority.Machine
	calls          []authority.Call
	delayedResults []authority.CallResult
	timer          authority.SetTimer
	timerAt        time.Time
	lastEpoch      model.Epoch
	paused         bool
	dead           bool
}

// simulation models a store, workers and VMs. It is the oracle of the tests: winners maps each epoch to the VM that
// announced it.
type simulation struct {
	t           *rapid.T
	now         time.Time
	version     uint64
	leases      map[uint64]time.Time
	holder      key
	epoch       key
	storeDown   bool
	partitioned bool
	// lostLeases is set once the store has dropped leases before their expiry.
	lostLeases   bool
	vms          []*vm
	workerEpochs []model.Epoch
	acceptedFrom map[string]model.VMID
	winners      map[model.Epoch]model.VMID
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1000, 0), leases: map[uint64]time.Time{}, workerEpochs: make([]model.Epoch, 3),
		acceptedFrom: map[string]model.VMID{}, winners: map[model.Epoch]model.VMID{},
	}
	for i := range 3 {
		id := model.VMID(fmt.Sprintf("v%d", i))
		s.vms = append(s.vms, &vm{id: id, m: authority.New(id, string(id))})
	}
	for _, v := range s.vms {
		s.step(v, authority.Started{})
	}
	return s
}

func (s *simulation) step(v *vm, e authority.Event) {
	for _, a := range v.m.Step(e, s.now) {
		switch a := a.(type) {
		case authority.Call:
			v.calls = append(v.calls, a)
		case authority.SetTimer:
			v.timer, v.timerAt = a, s.now.Add(a.Delay)
		case authority.Announce:
			s.recordAnnounce(v, a)
		}
	}
}

func (s *simulation) recordAnnounce(v *vm, a authority.Announce) {
	if !a.Holder {
		return
	}
	if !v.lastEpoch.Less(a.Epoch) {
		s.t.Fatalf("%s announced %s after %s", v.id, a.Epoch, v.lastEpoch)
	}
	v.lastEpoch = a.Epoch
	if other, ok := s.winners[a.Epoch]; ok && other != v.id && a.Epoch.Outage == 0 {
		s.t.Fatalf("%s and %s were both elected for %s", other, v.id, a.Epoch)
	}
	s.winners[a.Epoch] = v.id
}

// execute executes a call at the store.
func (s *simulation) execute(c authority.Call) authority.CallResult {
	if until, ok := s.leases[s.holder.lease]; s.holder.version != 0 && (!ok || !s.now.Before(until)) {
		s.holder = key{}
	}
	r := authority.CallResult{ID: c.ID, Status: authority.OK}
	until, alive := s.leases[c.Lease]
	alive = alive && s.now.Before(until)
	put := func(k *key, lease uint64) {
		if k.version != c.Version {
			r.Status, r.Version, r.Record = authority.Conflict, k.version, k.record
			return
		}
		s.version++
		*k = key{version: s.version, record: c.Record, lease: lease}
	}
	switch c.Op {
	case authority.GrantLease:
		s.version++
		s.leases[s.version], r.Lease = s.now.Add(authority.LeaseTTL), s.version
	case authority.RenewLease, authority.PutHolder:
		switch {
		case !alive:
			r.Status = authority.LeaseExpired
		case c.Op == authority.PutHolder:
			put(&s.holder, c.Lease)
		default:
			s.leases[c.Lease] = s.now.Add(authority.LeaseTTL)
		}
	case authority.RevokeLease:
		delete(s.leases, c.Lease)
	case authority.PutEpoch:
		put(&s.epoch, 0)
	case authority.GetEpoch:
		r.Version, r.Record = s.epoch.version, s.epoch.record
	default:
		r.Version, r.Record = s.holder.version, s.holder.record
	}
	return r
}

// completeCall executes the oldest call of a VM and delivers the result. Fault 1 loses the answer, 2 loses the call and
// 3 delays the answer.
func (s *simulation) completeCall(v *vm, fault int) {
	for len(v.delayedResults) > 0 && !v.paused && !v.dead {
		r := v.delayedResults[0]
		v.delayedResults = v.delayedResults[1:]
		s.step(v, r)
	}
	if len(v.calls) == 0 || v.dead || v.paused && fault != 3 {
		return
	}
	c := v.calls[0]
	v.calls = v.calls[1:]
	r := authority.CallResult{ID: c.ID, Status: authority.NoAnswer}
	if !s.storeDown && fault != 2 {
		if r = s.execute(c); fault == 1 {
			r = authority.CallResult{ID: c.ID, Status: authority.NoAnswer}
		}
	}
	if fault == 3 {
		v.delayedResults = append(v.delayedResults, r)
		return
	}
	s.step(v, r)
}

// run executes calls, heartbeats and commands of all VMs for some rounds with the given faults.
func (s *simulation) run(rounds int, fault func() int) {
	for range rounds {
		for i, v := range s.vms {
			s.completeCall(v, fault())
			s.heartbeat(v)
			s.sendCommand(v, i)
		}
		s.advance(250 * time.Millisecond)
	}
}

// pauseDuringEpochWrite pauses a VM while its write of the epoch key is pending, drops all leases and lets the
// other VMs elect a holder before the write is executed.
func (s *simulation) pauseDuringEpochWrite(v *vm, rounds int) {
	s.lostLeases = true
	clear(s.leases)
	for range 20 {
		if len(v.calls) > 0 && v.calls[0].Op == authority.PutEpoch {
			break
		}
		s.completeCall(v, 0)
		s.advance(100 * time.Millisecond)
	}
	paused := v.paused
	v.paused = true
	clear(s.leases)
	s.run(rounds, func() int { return 0 })
	v.paused = paused
	s.completeCall(v, 0)
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, v := range s.vms {
		if !v.paused && !v.dead && v.timer.Number != 0 && !s.now.Before(v.timerAt) {
			v.timerAt = s.now.Add(time.Hour)
			s.step(v, authority.TimerFired{Number: v.timer.Number})
		}
	}
}

// sendCommand sends a command of a VM to a worker, which rejects epochs below the highest that it has accepted and
// accepts each epoch from one VM only.
func (s *simulation) sendCommand(v *vm, worker int) {
	e := v.m.Epoch()
	if e.IsZero() || v.paused || v.dead {
		return
	}
	k := fmt.Sprintf("%d/%s", worker, e)
	if owner, ok := s.acceptedFrom[k]; e.Less(s.workerEpochs[worker]) || ok && owner != v.id {
		s.step(v, authority.EpochRefused{Epoch: s.workerEpochs[worker]})
		if v.m.Epoch() == e {
			s.t.Fatalf("%s keeps %s after worker %d accepted %s", v.id, e, worker, s.workerEpochs[worker])
		}
		return
	}
	s.workerEpochs[worker], s.acceptedFrom[k] = e, v.id
}

// heartbeat passes the current state of the other VMs to a VM.
func (s *simulation) heartbeat(v *vm) {
	if v.paused || v.dead {
		return
	}
	var peers []model.Member
	for _, o := range s.vms {
		if o != v {
			m := model.Member{VM: o.id, Alive: !o.paused && !o.dead && !s.partitioned, Holder: o.m.Epoch()}
			if m.Alive {
				m.LastHeard = s.now
			}
			peers = append(peers, m)
		}
	}
	s.step(v, authority.Members{Peers: peers})
}

func (s *simulation) holders() (out []*vm) {
	for _, v := range s.vms {
		if !v.dead && !v.m.Epoch().IsZero() {
			out = append(out, v)
		}
	}
	return out
}

// healAndRun ends every fault and runs for 40 s, which is long enough for an election. Without heartbeats the VMs learn
// of each other through the store only.
func (s *simulation) healAndRun(heartbeats bool) {
	s.storeDown, s.partitioned = false, false
	for _, v := range s.vms {
		v.paused = false
	}
	for range 400 {
		for _, v := range s.vms {
			s.completeCall(v, 0)
			if heartbeats {
				s.heartbeat(v)
				s.sendCommand(v, 0)
			}
		}
		s.advance(100 * time.Millisecond)
	}
}

// TestElection guards against two VMs that win the same store epoch, a VM whose epochs do not increase, a VM that
// stays holder although a worker rejected its epoch or the epoch key is higher, and a failure domain that has no single
// holder after all faults ended. The causes are lost and delayed calls, pauses, network partitions and store outages.
func TestElection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		pick := func() *vm { return s.vms[rapid.IntRange(0, len(s.vms)-1).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"answer": func(t *rapid.T) { s.completeCall(pick(), rapid.IntRange(0, 3).Draw(t, "fault")) },
			"run": func(t *rapid.T) {
				rounds := rapid.IntRange(1, 30).Draw(t, "rounds")
				s.run(rounds, func() int { return rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "fault") })
			},
			"advance": func(t *rapid.T) {
				s.advance(time.Duration(rapid.SampledFrom([]int{500, 1000, 4000}).Draw(t, "ms")) * time.Millisecond)
			},
			"race":      func(t *rapid.T) { s.pauseDuringEpochWrite(pick(), rapid.IntRange(1, 16).Draw(t, "rounds")) },
			"split":     func(*rapid.T) { s.partitioned = !s.partitioned },
			"outage":    func(*rapid.T) { s.storeDown = !s.storeDown },
			"pause":     func(*rapid.T) { v := pick(); v.paused = !v.paused },
			"command":   func(t *rapid.T) { s.sendCommand(pick(), rapid.IntRange(0, 2).Draw(t, "worker")) },
			"heartbeat": func(*rapid.T) { s.heartbeat(pick()) },
			"": func(t *rapid.T) {
				for i, e := range s.workerEpochs {
					if v, ok := s.winners[e]; !e.IsZero() && !ok {
						t.Fatalf("worker %d accepted %s, which %s never announced", i, e, v)
					}
				}
			},
		})
		s.healAndRun(false)
		for _, v := range s.holders() {
			if e := v.m.Epoch(); !s.lostLeases && e.Store < s.epoch.record.Epoch {
				t.Fatalf("%s keeps %s while the epoch key is at %d", v.id, e, s.epoch.record.Epoch)
			}
		}
		s.healAndRun(true)
		if h := s.holders(); len(h) != 1 || h[0].m.Epoch().Outage != 0 {
			t.Fatalf("%d holders after all faults ended", len(h))
		}
	})
}

// TestOutageClaim guards against a failure domain that stays without a holder when the holder dies during a store
// outage, and against a claimant that keeps its outage epoch after the store has returned.
func TestOutageClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.healAndRun(true)
		old := s.holders()[0]
		before := old.m.Epoch()
		s.storeDown, old.dead = true, true
		for range 100 {
			for _, v := range s.vms {
				s.completeCall(v, 0)
				s.heartbeat(v)
			}
			s.advance(100 * time.Millisecond)
		}
		h := s.holders()
		if len(h) != 1 || h[0].m.Epoch() != (model.Epoch{Store: before.Store, Outage: 1}) {
			t.Fatalf("%d claimants after the holder of %s died", len(h), before)
		}
		s.healAndRun(true)
		if e := h[0].m.Epoch(); e.Outage != 0 || e.Store <= before.Store {
			t.Fatalf("claimant holds %s after the store returned", e)
		}
	})
}

// TestDrain guards against a handover that does not revoke the lease or skips the closing record of the log.
func TestDrain(t *testing.T) {
	s := newSimulation(nil)
	s.healAndRun(true)
	v := s.holders()[0]
	actions := v.m.Step(authority.Drain{}, s.now)
	if len(actions) != 1 || actions[0] != (authority.CloseLog{Epoch: v.lastEpoch}) {
		t.Fatalf("actions of Drain: %v", actions)
	}
	s.step(v, authority.LogClosed{})
	if c := v.calls[len(v.calls)-1]; c.Op != authority.RevokeLease || !v.m.Epoch().IsZero() {
		t.Fatalf("call after the closing record: %v", c)
	}
}

// TestPausedHolder guards against a holder that keeps its epoch after a pause longer than its lease, when it can learn
// of the election of a peer from the store only.
func TestPausedHolder(t *testing.T) {
	s := newSimulation(nil)
	s.healAndRun(true)
	old := s.holders()[0]
	old.paused = true
	for range 200 {
		for _, v := range s.vms {
			s.completeCall(v, 0)
		}
		s.advance(100 * time.Millisecond)
	}
	if len(s.holders()) != 2 {
		t.Fatal("no peer was elected during the pause")
	}
	s.healAndRun(false)
	if h := s.holders(); len(h) != 1 || h[0] == old {
		t.Fatalf("%d holders after the pause; the old one holds %s", len(h), old.m.Epoch())
	}
}
