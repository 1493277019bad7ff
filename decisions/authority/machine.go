package authority

import (
	"strconv"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// LeaseTTL is the time to live of the holder's lease in the store.
	LeaseTTL = 3 * time.Second
	// RenewInterval is the interval of lease renewals. Two renewals in a row may fail before the lease expires.
	RenewInterval = time.Second
	// ElectionRetryDelay is the delay before the next attempt after a failed or lost election.
	ElectionRetryDelay = 500 * time.Millisecond
	// ClaimBackoff is the delay before the next outage claim after a refused one. It keeps two VMs that cannot
	// reach each other from displacing each other continuously.
	ClaimBackoff = 10 * LeaseTTL
)

// Machine is the state machine by which one VM takes part in the elections of its failure domain. It does no I/O and
// reads no clock: the caller passes in events and local times and carries out the actions. At most one call to the
// store is pending at a time.
type Machine struct {
	vm            model.VMID
	writeIDPrefix string
	writeSeq      uint64

	// epoch is the epoch under which the VM holds the failure domain, or zero.
	epoch model.Epoch
	// highestEpoch is the highest epoch observed so far of any VM.
	highestEpoch model.Epoch

	leaseID uint64
	// leaseExpiry is the local time before which the store cannot have expired the lease. It is counted from the start
	// of the call that granted or renewed the lease.
	leaseExpiry time.Time
	// holderVersion is the last observed version of the holder key; 0 means absent or unknown.
	holderVersion uint64
	// confirmedLease is the lease under which the epoch key was last confirmed to carry the record of this VM.
	confirmedLease uint64
	holderWriteID  string
	// epochWrite is the last write of the epoch key. It has no write id if there is none or if its epoch was given up.
	epochWrite Call

	pending      Call
	pendingSince time.Time
	lastCallID   uint64
	lastTimer    uint64

	// storeDown is set if the last call to the store got no complete answer.
	storeDown       bool
	peers           []model.Member
	holderLastHeard time.Time
	// claimAfter is the earliest local time of the next outage claim.
	claimAfter time.Time
	draining   bool

	now     time.Time
	actions []Action
}

// New returns the machine of a VM. The prefix of the write ids must be unique for each VM and each start.
func New(vm model.VMID, writeIDPrefix string) *Machine {
	return &Machine{vm: vm, writeIDPrefix: writeIDPrefix}
}

// Epoch returns the epoch under which the VM holds its failure domain, or zero.
func (m *Machine) Epoch() model.Epoch { return m.epoch }

// Step applies an event at a local time and returns the resulting actions.
func (m *Machine) Step(e Event, now time.Time) []Action {
	m.now, m.actions = now, nil
	switch e := e.(type) {
	case Started:
		// The first heartbeat of a live holder may not have arrived yet, so its timeout is counted from the start.
		m.holderLastHeard = now
		m.startNextCall()
	case TimerFired:
		if e.Number == m.lastTimer && m.pending.ID == 0 && !m.draining {
			m.startNextCall()
		}
	case CallResult:
		if m.pending.ID != 0 && e.ID == m.pending.ID {
			m.handleResult(e)
		}
	case Members:
		m.handleMembers(e.Peers)
	case EpochRefused:
		m.handleRefusal(e.Epoch)
	case Drain:
		m.startDrain()
	case LogClosed:
		m.finishDrain()
	}
	return m.actions
}

// startNextCall starts the call that the current state requires.
func (m *Machine) startNextCall() {
	switch {
	case m.epoch.IsZero() && m.holderVersion == 0:
		m.startCall(Call{Op: GetHolder})
	case m.epoch.IsZero():
		m.startCall(Call{Op: WatchHolder, Version: m.holderVersion})
	case m.leaseValid() && m.confirmedLease == m.leaseID:
		m.startCall(Call{Op: RenewLease, Lease: m.leaseID})
	default:
		m.startCall(Call{Op: GetEpoch})
	}
}

func (m *Machine) leaseValid() bool { return m.leaseID != 0 && m.now.Before(m.leaseExpiry) }

// startCall starts a call. It replaces the pending call, whose result is then ignored.
func (m *Machine) startCall(c Call) {
	m.lastCallID++
	c.ID = m.lastCallID
	m.pending, m.pendingSince = c, m.now
	m.actions = append(m.actions, c)
}

func (m *Machine) startTimer(d time.Duration) {
	m.lastTimer++
	m.actions = append(m.actions, SetTimer{Number: m.lastTimer, Delay: d})
}

// scheduleRetry sets the timer for the next call that the state requires.
func (m *Machine) scheduleRetry() {
	if m.epoch.IsZero() {
		m.startTimer(ElectionRetryDelay)
		return
	}
	m.startTimer(RenewInterval)
}

func (m *Machine) handleResult(r CallResult) {
	call, startedAt := m.pending, m.pendingSince
	m.pending = Call{}
	m.storeDown = r.Status == NoAnswer
	if m.draining {
		if call.Op == RevokeLease {
			m.actions = append(m.actions, Drained{})
		}
		return
	}
	switch call.Op {
	case GetHolder, WatchHolder:
		m.handleHolderRead(r)
	case GrantLease:
		m.handleGrantLease(r, startedAt)
	case PutHolder:
		m.handleHolderPut(r)
	case GetEpoch:
		m.handleEpochRead(r)
	case PutEpoch:
		m.handleEpochPut(r)
	case RenewLease:
		m.handleRenewLease(r, startedAt)
	case RevokeLease:
		m.scheduleRetry()
	}
}

func (m *Machine) handleHolderRead(r CallResult) {
	switch {
	case r.Status != OK:
		m.leaseID = 0
		m.tryClaim()
	case r.Version == 0:
		m.holderVersion = 0
		m.startCall(Call{Op: GrantLease})
	case m.leaseValid() && r.Record.WriteID == m.holderWriteID:
		// The put of the holder key took effect although its answer was lost.
		m.startCall(Call{Op: GetEpoch})
	case !m.epoch.IsZero():
		m.leaseID = 0
		m.scheduleRetry()
	default:
		m.leaseID, m.holderVersion = 0, r.Version
		m.startCall(Call{Op: WatchHolder, Version: r.Version})
	}
}

func (m *Machine) handleGrantLease(r CallResult, startedAt time.Time) {
	if r.Status != OK {
		m.scheduleRetry()
		return
	}
	m.leaseID, m.leaseExpiry, m.holderWriteID = r.Lease, startedAt.Add(LeaseTTL), m.nextWriteID()
	m.startCall(Call{Op: PutHolder, Record: Record{VM: m.vm, WriteID: m.holderWriteID}, Lease: m.leaseID})
}

func (m *Machine) handleHolderPut(r CallResult) {
	switch r.Status {
	case OK:
		m.startCall(Call{Op: GetEpoch})
	case NoAnswer:
		m.startCall(Call{Op: GetHolder})
	case Conflict:
		m.handleHolderRead(CallResult{Status: OK, Version: r.Version, Record: r.Record})
	default:
		m.leaseID = 0
		m.scheduleRetry()
	}
}

func (m *Machine) handleEpochRead(r CallResult) {
	if r.Status != OK {
		m.scheduleRetry()
		return
	}
	storeEpoch := model.Epoch{Store: r.Record.Epoch}
	m.observeEpoch(storeEpoch)
	ownWrite := m.epochWrite.Record.WriteID != "" && r.Record.WriteID == m.epochWrite.Record.WriteID
	switch {
	case ownWrite && m.leaseValid() && m.epoch.Store != r.Record.Epoch && m.highestEpoch == storeEpoch:
		m.completeElection()
	case !m.epoch.IsZero() && r.Record.Epoch > m.epoch.Store && !ownWrite:
		m.stepDown()
	case !m.leaseValid():
		m.startCall(Call{Op: GrantLease})
	case ownWrite && m.epoch == storeEpoch:
		m.confirmedLease = m.leaseID
		m.startTimer(RenewInterval)
	case m.epochWrite.Version == r.Version && m.epochWrite.Record.WriteID != "" && m.epochWrite.Record.Epoch > m.highestEpoch.Store:
		// The write has not taken effect. Repeating it is safe, because the expected version lets it apply only once.
		m.startCall(m.epochWrite)
	case m.epochWrite.Record.WriteID != "" && !ownWrite && m.epochWrite.Version != r.Version:
		m.handleElectionLoss()
	default:
		next := Record{VM: m.vm, Epoch: max(r.Record.Epoch, m.highestEpoch.Store) + 1, WriteID: m.nextWriteID()}
		m.epochWrite = Call{Op: PutEpoch, Version: r.Version, Record: next}
		m.startCall(m.epochWrite)
	}
}

func (m *Machine) handleEpochPut(r CallResult) {
	switch r.Status {
	case OK:
		m.completeElection()
	case Conflict:
		m.handleEpochRead(CallResult{Status: OK, Version: r.Version, Record: r.Record})
	default:
		m.startCall(Call{Op: GetEpoch})
	}
}

// handleElectionLoss restarts the election after another VM has incremented the epoch key. That VM may own the holder
// key as well, so the holder key must be read again before a higher epoch may be taken.
func (m *Machine) handleElectionLoss() {
	m.leaseID, m.epochWrite = 0, Call{}
	m.scheduleRetry()
}

// completeElection takes the epoch that was written, unless the lease may have expired: then a peer may have been
// elected in the meantime.
func (m *Machine) completeElection() {
	if !m.leaseValid() {
		m.leaseID = 0
		m.scheduleRetry()
		return
	}
	m.confirmedLease = m.leaseID
	m.becomeHolder(model.Epoch{Store: m.epochWrite.Record.Epoch})
	m.startTimer(RenewInterval)
}

func (m *Machine) becomeHolder(e model.Epoch) {
	m.epoch = e
	m.observeEpoch(e)
	m.actions = append(m.actions, Announce{Holder: true, Epoch: e})
}

func (m *Machine) handleRenewLease(r CallResult, startedAt time.Time) {
	switch r.Status {
	case OK:
		m.leaseExpiry = startedAt.Add(LeaseTTL)
		if m.leaseValid() {
			m.startTimer(RenewInterval)
			return
		}
		m.startCall(Call{Op: GetEpoch})
	case LeaseExpired:
		m.leaseID = 0
		m.startCall(Call{Op: GetEpoch})
	default:
		m.scheduleRetry()
	}
}

// stepDown gives up the epoch and revokes the lease, so that a peer can be elected without waiting for its expiry.
func (m *Machine) stepDown() {
	m.epoch = model.Epoch{}
	m.actions = append(m.actions, Announce{})
	leaseID := m.leaseID
	// Without the epoch write, an epoch that was given up is not taken again even if the epoch key still carries its
	// record.
	m.leaseID, m.holderVersion, m.epochWrite = 0, 0, Call{}
	if leaseID != 0 {
		m.startCall(Call{Op: RevokeLease, Lease: leaseID})
		return
	}
	m.pending = Call{}
	m.startTimer(ElectionRetryDelay)
}

func (m *Machine) handleRefusal(e model.Epoch) {
	m.observeEpoch(e)
	if m.epoch.IsZero() || m.draining || e.Less(m.epoch) {
		return
	}
	m.claimAfter = m.now.Add(ClaimBackoff + time.Duration(m.rank())*LeaseTTL)
	m.stepDown()
}

func (m *Machine) observeEpoch(e model.Epoch) {
	if m.highestEpoch.Less(e) {
		m.highestEpoch = e
	}
}

func (m *Machine) nextWriteID() string {
	m.writeSeq++
	return m.writeIDPrefix + "-" + strconv.FormatUint(m.writeSeq, 10)
}
