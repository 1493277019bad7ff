package fencedlog

import (
	"strconv"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxSlotBytes bounds the records of a slot or chunk. Base64 in JSON adds a third, so that the value
	// stays under the 1 MB of the store.
	MaxSlotBytes = 600_000
	// recordOverhead is the encoded size in bytes of a record without its data.
	recordOverhead = 48
	// AppendTimeout bounds the wait of an append, so that callers learn of an outage before their deadlines.
	AppendTimeout = 1500 * time.Millisecond
	// ReplayTimeout bounds the wait for a sealed replay before an unsealed one is reported.
	ReplayTimeout = 5 * time.Second
	// RetryDelay is the wait before an unanswered call is resolved again.
	RetryDelay = 200 * time.Millisecond
	// SnapshotSlots is the number of slots after which a snapshot replaces them.
	SnapshotSlots = 256
	// SnapshotBytes is the size of slots in bytes after which a snapshot replaces them.
	SnapshotBytes = 4 << 20
	// WritesPerSecond bounds the slot writes of all logs together. The store handles several hundred a second.
	WritesPerSecond = 350
	// defaultLogs is the number of logs until Logs tells it, that of the target size.
	defaultLogs = 7
	// WriteBurst is the number of writes that a log may make at once after a pause, so that it does not delay
	// the appends of a log that writes less often than its share permits.
	WriteBurst = 10
	// DeleteDelay is the wait between two deletions of replaced slots.
	DeleteDelay = 100 * time.Millisecond
	// maxComplete bounds the list of closed epochs. Tickets of epochs that fell out of it are unknown.
	maxComplete = 256
)

type phase string

const (
	idle    phase = "idle"
	reading phase = "reading"
	open    phase = "open"
	// unsealed is the phase of an outage claim, which has no log.
	unsealed phase = "unsealed"
	ended    phase = "ended"
)

type entry struct {
	id       uint64
	records  []Record
	deadline time.Time
	closing  bool
}

// Log is the state of one VM's access to the log of its failure domain.
type Log struct {
	prefix string
	writes uint64
	calls  uint64
	wakes  uint64

	phase phase
	epoch model.Epoch
	next  uint64
	// incomplete is set once an append of the epoch was answered as unavailable.
	incomplete bool

	head        Head
	headVersion uint64
	complete    []model.Epoch
	replay      []Record
	chunk       int
	reported    bool
	reportBy    time.Time

	queue []entry
	// slot is the slot in flight or unresolved; waiting lists its unanswered appends.
	slot    Slot
	waiting []entry
	// interval is the least mean time between two slot writes. paced is the time at which all writes so far have
	// used up their intervals.
	interval time.Duration
	paced    time.Time
	call     Call
	retryAt  time.Time
	retry    Call

	versions map[uint64]uint64
	// stale lists the snapshots other than that of head whose chunks may be in the store.
	stale []Area
	slots int
	bytes int
	snap  snapshot

	now time.Time
	out []Action
}

// New returns a log without an epoch. prefix makes write ids unique over VMs and restarts.
func New(prefix string) *Log {
	return &Log{prefix: prefix, phase: idle, interval: intervalOf(defaultLogs)}
}

// Step applies an event at a local time and returns the actions that follow.
func (l *Log) Step(e Event, now time.Time) []Action {
	l.now, l.out = now, nil
	switch e := e.(type) {
	case Open:
		l.open(e.Epoch)
	case Abandon:
		l.abandon()
	case Logs:
		l.interval = intervalOf(e.Number)
	case Append:
		l.append(e)
	case Closing:
		l.closing(e)
	case Result:
		l.result(e)
	case Snapshot:
		l.snapshotTaken(e)
	case Woken:
		if e.Number != l.wakes {
			return nil
		}
	}
	l.due()
	l.pump()
	l.compact()
	l.arm()
	return l.out
}

func (l *Log) emit(a Action) { l.out = append(l.out, a) }

func (l *Log) newCall(c Call) Call {
	l.calls++
	c.ID = l.calls
	l.emit(c)
	return c
}

// do starts a call of the read and append path, of which one is in flight.
func (l *Log) do(c Call) { l.call, l.retry = l.newCall(c), Call{} }

// later repeats a call of the read and append path after RetryDelay.
func (l *Log) later(c Call) { l.retry, l.retryAt = c, l.now.Add(RetryDelay) }

func (l *Log) writeID() string {
	l.writes++
	return l.prefix + "-" + strconv.FormatUint(l.writes, 10)
}

func (l *Log) abandon() {
	for _, e := range l.waiting {
		l.emit(Answer{ID: e.id, Outcome: Unavailable})
	}
	for _, e := range l.queue {
		l.emit(Answer{ID: e.id, Outcome: NotHolder})
	}
	*l = Log{prefix: l.prefix, writes: l.writes, calls: l.calls, wakes: l.wakes, phase: idle, now: l.now, out: l.out}
}

func (l *Log) append(a Append) {
	size := 0
	for _, r := range a.Records {
		size += r.size()
	}
	switch {
	case l.phase == idle || l.phase == ended || a.Epoch != l.epoch || l.isClosing():
		l.emit(Answer{ID: a.ID, Outcome: NotHolder})
	case size > MaxSlotBytes:
		l.emit(Answer{ID: a.ID, Outcome: TooLarge})
	case l.phase == unsealed:
		l.emit(Answer{ID: a.ID, Outcome: Unavailable})
	default:
		l.queue = append(l.queue, entry{id: a.ID, records: a.Records, deadline: l.now.Add(AppendTimeout)})
	}
}

func (l *Log) isClosing() bool {
	return l.slot.Kind == Close || len(l.queue) > 0 && l.queue[len(l.queue)-1].closing
}

func (l *Log) closing(c Closing) {
	switch {
	case l.phase == unsealed:
		l.emit(Answer{ID: c.ID, Outcome: Unavailable})
	case l.phase == idle || l.phase == ended || c.Epoch != l.epoch || l.isClosing():
		l.emit(Answer{ID: c.ID, Outcome: NotHolder})
	default:
		l.queue = append(l.queue, entry{id: c.ID, closing: true, deadline: l.now.Add(AppendTimeout)})
	}
}

// due ends the waits whose time has come.
func (l *Log) due() {
	if l.retry.Op != "" && !l.now.Before(l.retryAt) {
		l.do(l.retry)
	}
	if l.phase == reading && !l.reported && !l.now.Before(l.reportBy) {
		l.reported = true
		l.emit(Replayed{Epoch: l.epoch})
	}
	l.queue, l.waiting = l.expire(l.queue), l.expire(l.waiting)
}

func (l *Log) expire(list []entry) []entry {
	var rest []entry
	for _, e := range list {
		if l.now.Before(e.deadline) {
			rest = append(rest, e)
			continue
		}
		l.incomplete = true
		l.emit(Answer{ID: e.id, Outcome: Unavailable})
	}
	return rest
}

// ready reports whether the next slot has content and none is in flight or unresolved.
func (l *Log) ready() bool {
	return l.phase == open && l.slot.Kind == "" && (len(l.queue) > 0 || l.snap.step == snapMark)
}

// intervalOf returns the share of one of n logs in WritesPerSecond, as the time of one write.
func intervalOf(n int) time.Duration {
	return time.Duration(max(1, n)) * time.Second / WritesPerSecond
}

// writeAt is the earliest time of the next slot write: the generic cell rate algorithm (ITU-T I.371) with a
// burst of WriteBurst.
func (l *Log) writeAt() time.Time { return l.paced.Add(-(WriteBurst - 1) * l.interval) }

// pump writes the next slot once it is ready and the pace of the log permits.
func (l *Log) pump() {
	if !l.ready() || l.now.Before(l.writeAt()) {
		return
	}
	l.slot = Slot{Kind: Batch, Epoch: l.epoch, WriteID: l.writeID()}
	if len(l.queue) > 0 && l.queue[0].closing {
		l.slot.Kind, l.slot.Complete = Close, !l.incomplete
		l.waiting, l.queue = l.queue, nil
	} else {
		if l.snap.step == snapMark {
			l.slot.Snapshot = l.snap.head.area()
		}
		l.fill()
	}
	if l.paced.Before(l.now) {
		l.paced = l.now
	}
	l.paced = l.paced.Add(l.interval)
	l.do(Call{Op: PutSlot, N: l.next, Slot: l.slot})
}

// fill moves appends from the queue into the slot up to MaxSlotBytes.
func (l *Log) fill() {
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
	l.waiting, l.queue = l.queue[:n:n], l.queue[n:]
}

// arm asks for a wake-up at the earliest wait that is not a call.
func (l *Log) arm() {
	var at time.Time
	add := func(t time.Time) {
		if !t.IsZero() && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if l.retry.Op != "" {
		add(l.retryAt)
	}
	if l.phase == reading && !l.reported {
		add(l.reportBy)
	}
	if l.ready() {
		add(l.writeAt())
	}
	for _, list := range [][]entry{l.queue, l.waiting} {
		if len(list) > 0 {
			add(list[0].deadline)
		}
	}
	add(l.snap.at)
	if !at.IsZero() {
		l.wakes++
		l.emit(Wake{Number: l.wakes, Delay: max(0, at.Sub(l.now))})
	}
}
