package fencedlog

import (
	"strconv"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxSlotBytes is the maximum size of the records in one slot or chunk. Base64 in JSON adds a third, which keeps
	// the encoded value below the store's limit of 1 MB.
	MaxSlotBytes = 600_000
	// recordOverheadBytes is the encoded size of a record without its data.
	recordOverheadBytes = 48
	// AppendTimeout bounds the time until an append is answered, so that callers learn of a store outage before their
	// own deadlines expire.
	AppendTimeout = 1500 * time.Millisecond
	// ReplayTimeout is the time after which a replay that is not sealed yet is reported as unsealed.
	ReplayTimeout = 5 * time.Second
	// RetryDelay is the delay before a call without an answer is retried or its effect is read back.
	RetryDelay = 200 * time.Millisecond
	// SnapshotSlots is the number of slots since the last snapshot that triggers the next one.
	SnapshotSlots = 256
	// SnapshotBytes is the size in bytes of the slots since the last snapshot that triggers the next one.
	SnapshotBytes = 4 << 20
	// WritesPerSecond bounds the rate of slot writes of all logs together. The store handles several hundred writes per
	// second.
	WritesPerSecond = 350
	// defaultLogCount is the number of logs assumed before the first SetLogCount event: that of a deployment of the
	// target size.
	defaultLogCount = 7
	// WriteBurst is the number of writes that a log may make at once after an idle time, so that the rate limit does not
	// delay the appends of a log that writes less often than its share permits.
	WriteBurst = 10
	// DeleteDelay is the delay between two deletions of replaced slots or chunks.
	DeleteDelay = 100 * time.Millisecond
	// maxCompleteEpochs bounds the list of epochs that were closed with all records. Tickets of epochs that have been
	// dropped from the list are answered as unknown.
	maxCompleteEpochs = 256
)

// phase is the state of the log in the current epoch.
type phase string

const (
	idle    phase = "idle"
	reading phase = "reading"
	open    phase = "open"
	// unsealed is the phase of an epoch that was claimed during a store outage and has no log.
	unsealed phase = "unsealed"
	ended    phase = "ended"
)

// pendingAppend is an append or a closing that has not been answered.
type pendingAppend struct {
	id       uint64
	records  []Record
	deadline time.Time
	closing  bool
}

// Log is the state machine with which one VM accesses the log of its failure domain.
type Log struct {
	writeIDPrefix string
	// lastWrite, lastCall and lastTimer are the numbers last used for write ids, calls and timers.
	lastWrite uint64
	lastCall  uint64
	lastTimer uint64

	phase    phase
	epoch    model.Epoch
	nextSlot uint64
	// incomplete is true once an append of the epoch was answered as unavailable.
	incomplete bool

	head           Head
	headVersion    uint64
	completeEpochs []model.Epoch
	replayRecords  []Record
	nextChunk      int
	replayReported bool
	replayDeadline time.Time

	queue []pendingAppend
	// slot is the slot in flight or with an unknown result; inFlight lists its unanswered appends.
	slot     Slot
	inFlight []pendingAppend
	// writeInterval is the minimum mean time between two slot writes. theoreticalArrival is the time at which the
	// intervals of all writes so far have passed (the theoretical arrival time of the generic cell rate algorithm).
	writeInterval      time.Duration
	theoreticalArrival time.Time
	call               Call
	retryAt            time.Time
	retryCall          Call

	slotVersions map[uint64]uint64
	// staleSnapshots lists the snapshots other than that of head whose chunks may still be in the store.
	staleSnapshots     []SnapshotRef
	slotsSinceSnapshot int
	bytesSinceSnapshot int
	compaction         compactionState

	now     time.Time
	actions []Action
}

// New returns a log without an epoch. writeIDPrefix must be unique across VMs and restarts, so that write ids are.
func New(writeIDPrefix string) *Log {
	return &Log{writeIDPrefix: writeIDPrefix, phase: idle, writeInterval: writeIntervalFor(defaultLogCount)}
}

// Step applies an event at the local time now and returns the resulting actions.
func (l *Log) Step(e Event, now time.Time) []Action {
	l.now, l.actions = now, nil
	switch e := e.(type) {
	case Open:
		l.open(e.Epoch)
	case Abandon:
		l.abandon()
	case SetLogCount:
		l.writeInterval = writeIntervalFor(e.Count)
	case Append:
		l.append(e)
	case CloseEpoch:
		l.closeEpoch(e)
	case CallResult:
		l.handleResult(e)
	case Snapshot:
		l.handleSnapshot(e)
	case TimerFired:
		if e.Number != l.lastTimer {
			return nil
		}
	}
	l.handleTimeouts()
	l.writeNextSlot()
	l.advanceCompaction()
	l.setTimer()
	return l.actions
}

func (l *Log) emit(a Action) { l.actions = append(l.actions, a) }

func (l *Log) emitCall(c Call) Call {
	l.lastCall++
	c.ID = l.lastCall
	l.emit(c)
	return c
}

// startCall starts a call of the read and append path, which has at most one call in flight.
func (l *Log) startCall(c Call) { l.call, l.retryCall = l.emitCall(c), Call{} }

// scheduleRetry makes c the next call of the read and append path after RetryDelay.
func (l *Log) scheduleRetry(c Call) { l.retryCall, l.retryAt = c, l.now.Add(RetryDelay) }

func (l *Log) newWriteID() string {
	l.lastWrite++
	return l.writeIDPrefix + "-" + strconv.FormatUint(l.lastWrite, 10)
}

// abandon answers all pending appends and resets the log to idle.
func (l *Log) abandon() {
	for _, e := range l.inFlight {
		l.emit(AppendResult{ID: e.id, Outcome: Unavailable})
	}
	for _, e := range l.queue {
		l.emit(AppendResult{ID: e.id, Outcome: NotHolder})
	}
	*l = Log{
		writeIDPrefix: l.writeIDPrefix, lastWrite: l.lastWrite, lastCall: l.lastCall, lastTimer: l.lastTimer,
		phase: idle, writeInterval: l.writeInterval, now: l.now, actions: l.actions,
	}
}

func (l *Log) append(a Append) {
	size := 0
	for _, r := range a.Records {
		size += r.size()
	}
	switch {
	case l.phase == idle || l.phase == ended || a.Epoch != l.epoch || l.isClosing():
		l.emit(AppendResult{ID: a.ID, Outcome: NotHolder})
	case size > MaxSlotBytes:
		l.emit(AppendResult{ID: a.ID, Outcome: TooLarge})
	case l.phase == unsealed:
		l.emit(AppendResult{ID: a.ID, Outcome: Unavailable})
	default:
		l.queue = append(l.queue, pendingAppend{id: a.ID, records: a.Records, deadline: l.now.Add(AppendTimeout)})
	}
}

// isClosing reports whether a closing is queued or in flight. Later appends are then refused.
func (l *Log) isClosing() bool {
	return l.slot.Kind == Close || len(l.queue) > 0 && l.queue[len(l.queue)-1].closing
}

func (l *Log) closeEpoch(c CloseEpoch) {
	switch {
	case l.phase == unsealed:
		l.emit(AppendResult{ID: c.ID, Outcome: Unavailable})
	case l.phase == idle || l.phase == ended || c.Epoch != l.epoch || l.isClosing():
		l.emit(AppendResult{ID: c.ID, Outcome: NotHolder})
	default:
		l.queue = append(l.queue, pendingAppend{id: c.ID, closing: true, deadline: l.now.Add(AppendTimeout)})
	}
}

// handleTimeouts retries a call, reports an unsealed replay and answers appends whose times have come.
func (l *Log) handleTimeouts() {
	if l.retryCall.Op != "" && !l.now.Before(l.retryAt) {
		l.startCall(l.retryCall)
	}
	if l.phase == reading && !l.replayReported && !l.now.Before(l.replayDeadline) {
		l.replayReported = true
		l.emit(Replayed{Epoch: l.epoch})
	}
	l.queue, l.inFlight = l.expireAppends(l.queue), l.expireAppends(l.inFlight)
}

// expireAppends answers the appends past their deadline as unavailable and returns the others.
func (l *Log) expireAppends(list []pendingAppend) []pendingAppend {
	var rest []pendingAppend
	for _, e := range list {
		if l.now.Before(e.deadline) {
			rest = append(rest, e)
			continue
		}
		l.incomplete = true
		l.emit(AppendResult{ID: e.id, Outcome: Unavailable})
	}
	return rest
}

// slotReady reports whether the next slot has content and no other slot is in flight or has an unknown result.
func (l *Log) slotReady() bool {
	return l.phase == open && l.slot.Kind == "" && (len(l.queue) > 0 || l.compaction.step == stepMarking)
}

// writeIntervalFor returns the mean time between two writes of a log if n logs share WritesPerSecond equally.
func writeIntervalFor(n int) time.Duration {
	return time.Duration(max(1, n)) * time.Second / WritesPerSecond
}

// nextWriteTime returns the earliest time of the next slot write by the generic cell rate algorithm (ITU-T I.371)
// with a burst of WriteBurst.
func (l *Log) nextWriteTime() time.Time {
	return l.theoreticalArrival.Add(-(WriteBurst - 1) * l.writeInterval)
}

// writeNextSlot writes the next slot if it is ready and the rate limit permits.
func (l *Log) writeNextSlot() {
	if !l.slotReady() || l.now.Before(l.nextWriteTime()) {
		return
	}
	l.slot = Slot{Kind: Batch, Epoch: l.epoch, WriteID: l.newWriteID()}
	if len(l.queue) > 0 && l.queue[0].closing {
		l.slot.Kind, l.slot.Complete = Close, !l.incomplete
		l.inFlight, l.queue = l.queue, nil
	} else {
		if l.compaction.step == stepMarking {
			l.slot.Snapshot = l.compaction.head.snapshotRef()
		}
		l.fillSlot()
	}
	if l.theoreticalArrival.Before(l.now) {
		l.theoreticalArrival = l.now
	}
	l.theoreticalArrival = l.theoreticalArrival.Add(l.writeInterval)
	l.startCall(Call{Op: PutSlot, SlotNumber: l.nextSlot, Slot: l.slot})
}

// fillSlot moves appends from the queue into the slot, up to MaxSlotBytes and up to a closing. The first append always
// fits, since larger ones are refused.
func (l *Log) fillSlot() {
	size, n := 0, 0
	for _, e := range l.queue {
		for _, r := range e.records {
			size += r.size()
		}
		if e.closing || n > 0 && size > MaxSlotBytes {
			break
		}
		l.slot.Records = append(l.slot.Records, e.records...)
		n++
	}
	l.inFlight, l.queue = l.queue[:n:n], l.queue[n:]
}

// setTimer sets the timer to the earliest pending deadline, retry or permitted write.
func (l *Log) setTimer() {
	var timerAt time.Time
	add := func(t time.Time) {
		if !t.IsZero() && (timerAt.IsZero() || t.Before(timerAt)) {
			timerAt = t
		}
	}
	if l.retryCall.Op != "" {
		add(l.retryAt)
	}
	if l.phase == reading && !l.replayReported {
		add(l.replayDeadline)
	}
	if l.slotReady() {
		add(l.nextWriteTime())
	}
	for _, list := range [][]pendingAppend{l.queue, l.inFlight} {
		if len(list) > 0 {
			add(list[0].deadline)
		}
	}
	add(l.compaction.resumeAt)
	if !timerAt.IsZero() {
		l.lastTimer++
		l.emit(SetTimer{Number: l.lastTimer, Delay: max(0, timerAt.Sub(l.now))})
	}
}
