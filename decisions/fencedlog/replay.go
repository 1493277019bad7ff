package fencedlog

import (
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

func (l *Log) open(e model.Epoch) {
	l.abandon()
	l.epoch, l.reportBy, l.versions = e, l.now.Add(ReplayTimeout), make(map[uint64]uint64)
	if e.Outage > 0 {
		l.phase = unsealed
		l.emit(Replayed{Epoch: e})
		return
	}
	l.phase = reading
	l.do(Call{Op: ReadHead})
}

func (l *Log) result(r Result) {
	switch {
	case l.call.ID != 0 && r.ID == l.call.ID:
		c := l.call
		l.call = Call{}
		l.proceed(c, r)
	case l.snap.call.ID != 0 && r.ID == l.snap.call.ID:
		c := l.snap.call
		l.snap.call = Call{}
		l.snapshotResult(c, r)
	}
}

func (l *Log) proceed(c Call, r Result) {
	if r.Status == Lost {
		if c.Op == PutSlot {
			// The write may have taken effect: the slot is read back before any retry.
			c = Call{Op: ReadSlot, N: c.N}
		}
		l.later(c)
		return
	}
	switch c.Op {
	case ReadHead:
		l.headRead(r)
	case ReadChunk:
		if r.Version == 0 {
			// A newer snapshot has replaced the chunk.
			l.later(Call{Op: ReadHead})
			return
		}
		l.replay = append(l.replay, r.Records...)
		l.chunk++
		l.readOn()
	case ReadSlot, PutSlot:
		if c.Op == PutSlot && r.Status == OK {
			r.Slot = l.slot
		}
		l.slotSeen(c.N, r)
	}
}

// headRead starts the replay, or ends it if the head is unchanged since the replay began. Slots are deleted
// only after a new head is written, so that an unchanged head proves that no slot vanished before the seal.
func (l *Log) headRead(r Result) {
	if l.slot.Kind == Seal && r.Version == l.headVersion {
		l.slot, l.phase, l.reported = Slot{}, open, true
		l.emit(Replayed{Epoch: l.epoch, Records: l.replay, Sealed: true, Complete: slices.Clone(l.complete)})
		l.replay = nil
		return
	}
	l.head, l.headVersion = r.Head, r.Version
	l.complete, l.next = slices.Clone(r.Head.Complete), r.Head.First
	l.replay, l.chunk, l.slots, l.bytes, l.slot = nil, 0, 0, 0, Slot{}
	l.stale = slices.Clone(r.Head.Stale)
	l.readOn()
}

func (l *Log) readOn() {
	if l.chunk < l.head.Chunks {
		l.do(Call{Op: ReadChunk, N: l.head.First, Chunk: l.chunk})
		return
	}
	l.do(Call{Op: ReadSlot, N: l.next})
}

// slotSeen handles the content of the next slot, read or written.
func (l *Log) slotSeen(n uint64, r Result) {
	own := r.Version != 0 && l.slot.WriteID != "" && r.Slot.WriteID == l.slot.WriteID
	switch {
	case own:
		l.slotWritten(r.Version)
	case r.Version != 0 && (l.phase == open || l.epoch.Less(r.Slot.Epoch)):
		l.fenced(r.Slot.Epoch)
	case r.Version != 0:
		l.slot = Slot{}
		l.replayed(r)
		l.do(Call{Op: ReadSlot, N: l.next})
	default:
		if l.slot.Kind == "" {
			l.slot = Slot{Kind: Seal, Epoch: l.epoch, WriteID: l.writeID()}
		}
		l.do(Call{Op: PutSlot, N: n, Slot: l.slot})
	}
}

// replayed takes a slot of an earlier holder.
func (l *Log) replayed(r Result) {
	l.count(r.Version, r.Slot)
	l.replay = append(l.replay, r.Slot.Records...)
	if a := r.Slot.Snapshot; a.Chunks > 0 && a.First != l.head.First {
		l.stale = append(l.stale, a)
	}
	if r.Slot.Kind == Close && r.Slot.Complete {
		l.complete = append(l.complete, r.Slot.Epoch)
		l.complete = l.complete[max(0, len(l.complete)-maxComplete):]
	}
}

func (l *Log) count(version uint64, s Slot) {
	if s.Kind != Seal {
		l.versions[l.next] = version
	}
	for _, r := range s.Records {
		l.bytes += r.size()
	}
	l.slots++
	l.next++
}

// slotWritten ends the slot in flight. A seal is valid once the head is known to be unchanged.
func (l *Log) slotWritten(version uint64) {
	l.count(version, l.slot)
	if l.slot.Kind == Seal {
		l.do(Call{Op: ReadHead})
		return
	}
	if l.slot.Kind == Close {
		l.phase = ended
	}
	if l.slot.Snapshot.Chunks > 0 {
		l.snap.step = snapChunks
	}
	l.slot = Slot{}
	for _, e := range l.waiting {
		l.emit(Answer{ID: e.id, Outcome: Durable})
	}
	l.waiting = nil
}

func (l *Log) fenced(e model.Epoch) {
	for _, w := range append(l.waiting, l.queue...) {
		l.emit(Answer{ID: w.id, Outcome: NotHolder})
	}
	l.waiting, l.queue, l.slot, l.phase = nil, nil, Slot{}, ended
	l.emit(Fenced{Epoch: e})
}
