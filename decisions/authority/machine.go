package authority

import (
	"strconv"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// LeaseTTL is the time to live of the holder's lease in the store.
	LeaseTTL = 3 * time.Second
	// RenewEvery is the interval of lease renewals. Two renewals may fail before the lease lapses.
	RenewEvery = time.Second
	// ElectRetry is the delay after a failed or lost election.
	ElectRetry = 500 * time.Millisecond
	// ClaimBackoff is the wait before another outage claim after a refused one, so that two VMs that
	// cannot reach each other do not displace each other continuously.
	ClaimBackoff = 10 * LeaseTTL
)

// Machine is the state of one VM's competition for its failure domain.
type Machine struct {
	vm     model.VMID
	prefix string
	writes uint64

	// epoch is zero while the VM does not hold the failure domain.
	epoch model.Epoch
	// known is the highest epoch that the VM has seen, whoever holds it.
	known model.Epoch

	lease uint64
	// leaseUntil is the local time until which the store cannot have expired the lease.
	leaseUntil time.Time
	// holderVersion is the last seen version of the holder key; 0 means absent or unknown.
	holderVersion uint64
	// confirmed is the lease under which the epoch key was last read with the record of this VM.
	confirmed   uint64
	holderWrite string
	raise       Call

	call   Call
	callAt time.Time
	calls  uint64
	wakes  uint64

	storeDown   bool
	peers       []model.Member
	holderHeard time.Time
	claimAfter  time.Time
	draining    bool

	now time.Time
	out []Action
}

// New returns the machine of a VM. prefix makes write ids unique over VMs and restarts.
func New(vm model.VMID, prefix string) *Machine { return &Machine{vm: vm, prefix: prefix} }

// Epoch returns the epoch under which the VM holds its failure domain, or zero.
func (m *Machine) Epoch() model.Epoch { return m.epoch }

// Step applies an event at a local time and returns the actions that follow.
func (m *Machine) Step(e Event, now time.Time) []Action {
	m.now, m.out = now, nil
	switch e := e.(type) {
	case Started:
		// A VM that has just started has not heard a live holder yet.
		m.holderHeard = now
		m.next()
	case Woken:
		if e.Number == m.wakes && m.call.ID == 0 && !m.draining {
			m.next()
		}
	case Result:
		if m.call.ID != 0 && e.ID == m.call.ID {
			m.finish(e)
		}
	case Members:
		m.learnMembers(e.Peers)
	case Refused:
		m.refused(e.Epoch)
	case Drain:
		m.drain()
	case LogClosed:
		m.release()
	}
	return m.out
}

// next starts the call that the current state needs.
func (m *Machine) next() {
	switch {
	case m.epoch.IsZero() && m.holderVersion == 0:
		m.do(Call{Op: GetHolder})
	case m.epoch.IsZero():
		m.do(Call{Op: WatchHolder, Version: m.holderVersion})
	case m.leased() && m.confirmed == m.lease:
		m.do(Call{Op: KeepAlive, Lease: m.lease})
	default:
		m.do(Call{Op: GetEpoch})
	}
}

func (m *Machine) leased() bool { return m.lease != 0 && m.now.Before(m.leaseUntil) }

// do starts a call; it replaces the call in progress, whose result is then ignored.
func (m *Machine) do(c Call) {
	m.calls++
	c.ID = m.calls
	m.call, m.callAt = c, m.now
	m.out = append(m.out, c)
}

func (m *Machine) wait(d time.Duration) {
	m.wakes++
	m.out = append(m.out, Wake{Number: m.wakes, Delay: d})
}

// again waits before the next attempt of what the state needs.
func (m *Machine) again() {
	if m.epoch.IsZero() {
		m.wait(ElectRetry)
		return
	}
	m.wait(RenewEvery)
}

func (m *Machine) finish(r Result) {
	c, at := m.call, m.callAt
	m.call = Call{}
	m.storeDown = r.Status == Lost
	if m.draining {
		if c.Op == Revoke {
			m.out = append(m.out, Drained{})
		}
		return
	}
	switch c.Op {
	case GetHolder, WatchHolder:
		m.holderRead(r)
	case Grant:
		m.granted(r, at)
	case PutHolder:
		m.holderPut(r)
	case GetEpoch:
		m.epochRead(r)
	case PutEpoch:
		m.epochPut(r)
	case KeepAlive:
		m.renewed(r, at)
	case Revoke:
		m.again()
	}
}

func (m *Machine) holderRead(r Result) {
	switch {
	case r.Status != OK:
		m.lease = 0
		m.claim()
	case r.Version == 0:
		m.holderVersion = 0
		m.do(Call{Op: Grant})
	case m.leased() && r.Record.WriteID == m.holderWrite:
		// The answer to the put was lost, but the put took effect.
		m.do(Call{Op: GetEpoch})
	case !m.epoch.IsZero():
		m.lease = 0
		m.again()
	default:
		m.lease, m.holderVersion = 0, r.Version
		m.do(Call{Op: WatchHolder, Version: r.Version})
	}
}

func (m *Machine) granted(r Result, at time.Time) {
	if r.Status != OK {
		m.again()
		return
	}
	m.lease, m.leaseUntil, m.holderWrite = r.Lease, at.Add(LeaseTTL), m.writeID()
	m.do(Call{Op: PutHolder, Record: Record{VM: m.vm, WriteID: m.holderWrite}, Lease: m.lease})
}

func (m *Machine) holderPut(r Result) {
	switch r.Status {
	case OK:
		m.do(Call{Op: GetEpoch})
	case Lost:
		m.do(Call{Op: GetHolder})
	case Conflict:
		m.holderRead(Result{Status: OK, Version: r.Version, Record: r.Record})
	default:
		m.lease = 0
		m.again()
	}
}

func (m *Machine) epochRead(r Result) {
	if r.Status != OK {
		m.again()
		return
	}
	won := model.Epoch{Store: r.Record.Epoch}
	m.learn(won)
	raised := m.raise.Record.WriteID != "" && r.Record.WriteID == m.raise.Record.WriteID
	switch {
	case raised && m.leased() && m.epoch.Store != r.Record.Epoch && m.known == won:
		m.won()
	case !m.epoch.IsZero() && r.Record.Epoch > m.epoch.Store && !raised:
		m.stepDown()
	case !m.leased():
		m.do(Call{Op: Grant})
	case raised && m.epoch == won:
		m.confirmed = m.lease
		m.wait(RenewEvery)
	case m.raise.Version == r.Version && m.raise.Record.WriteID != "" && m.raise.Record.Epoch > m.known.Store:
		// The write was lost before it took effect. The same write again cannot take effect twice.
		m.do(m.raise)
	case m.raise.Record.WriteID != "" && !raised && m.raise.Version != r.Version:
		m.lostElection()
	default:
		next := Record{VM: m.vm, Epoch: max(r.Record.Epoch, m.known.Store) + 1, WriteID: m.writeID()}
		m.raise = Call{Op: PutEpoch, Version: r.Version, Record: next}
		m.do(m.raise)
	}
}

func (m *Machine) epochPut(r Result) {
	switch r.Status {
	case OK:
		m.won()
	case Conflict:
		m.epochRead(Result{Status: OK, Version: r.Version, Record: r.Record})
	default:
		m.do(Call{Op: GetEpoch})
	}
}

// lostElection starts over after another VM has raised the epoch key. The holder key may be its as well, so
// that a higher epoch must not be taken without reading the holder key.
func (m *Machine) lostElection() {
	m.lease, m.raise = 0, Call{}
	m.again()
}

// won takes the raised epoch, unless the lease may have lapsed and a peer may have been elected since.
func (m *Machine) won() {
	if !m.leased() {
		m.lease = 0
		m.again()
		return
	}
	m.confirmed = m.lease
	m.hold(model.Epoch{Store: m.raise.Record.Epoch})
	m.wait(RenewEvery)
}

func (m *Machine) hold(e model.Epoch) {
	m.epoch = e
	m.learn(e)
	m.out = append(m.out, Announce{Holder: true, Epoch: e})
}

func (m *Machine) renewed(r Result, at time.Time) {
	switch r.Status {
	case OK:
		m.leaseUntil = at.Add(LeaseTTL)
		if m.leased() {
			m.wait(RenewEvery)
			return
		}
		m.do(Call{Op: GetEpoch})
	case LeaseExpired:
		m.lease = 0
		m.do(Call{Op: GetEpoch})
	default:
		m.again()
	}
}

// stepDown gives up the epoch and the lease, so that a peer can be elected at once.
func (m *Machine) stepDown() {
	m.epoch = model.Epoch{}
	m.out = append(m.out, Announce{})
	lease := m.lease
	// An epoch that was given up is not taken again, even if the epoch key still carries its record.
	m.lease, m.holderVersion, m.raise = 0, 0, Call{}
	if lease != 0 {
		m.do(Call{Op: Revoke, Lease: lease})
		return
	}
	m.call = Call{}
	m.wait(ElectRetry)
}

func (m *Machine) refused(e model.Epoch) {
	m.learn(e)
	if m.epoch.IsZero() || m.draining || e.Less(m.epoch) {
		return
	}
	m.claimAfter = m.now.Add(ClaimBackoff + time.Duration(m.rank())*LeaseTTL)
	m.stepDown()
}

func (m *Machine) learn(e model.Epoch) {
	if m.known.Less(e) {
		m.known = e
	}
}

func (m *Machine) writeID() string {
	m.writes++
	return m.prefix + "-" + strconv.FormatUint(m.writes, 10)
}
