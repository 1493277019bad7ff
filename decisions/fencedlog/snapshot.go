package fencedlog

import (
	"slices"
	"time"
)

type snapshotStep string

const (
	snapNone     snapshotStep = ""
	snapTaking   snapshotStep = "taking"
	snapMark     snapshotStep = "mark"
	snapChunks   snapshotStep = "chunks"
	snapHead     snapshotStep = "head"
	snapDeleting snapshotStep = "deleting"
)

// snapshot is the state of a compaction.
type snapshot struct {
	step   snapshotStep
	first  uint64
	chunks [][]Record
	index  int
	// pending lists the appends that the snapshot may contain and that are not yet durable.
	pending map[uint64]bool
	head    Head
	// delete is the next replaced slot to delete. The chunks of the areas in head.Stale follow, one by one.
	delete uint64
	area   int
	call   Call
	// at is the time of the next attempt; zero for none.
	at time.Time
}

// compact starts what the compaction needs next.
func (l *Log) compact() {
	s := &l.snap
	if l.phase != open || s.call.ID != 0 || !s.at.IsZero() && l.now.Before(s.at) {
		return
	}
	s.at = time.Time{}
	switch s.step {
	case snapNone:
		if !l.isClosing() && (l.slots >= SnapshotSlots || l.bytes >= SnapshotBytes) {
			s.step, s.first = snapTaking, l.next
			l.slots, l.bytes = 0, 0
			l.emit(GetSnapshot{Epoch: l.epoch, First: s.first})
		}
	case snapChunks:
		s.call = l.newCall(Call{Op: PutChunk, N: s.first, Chunk: s.index, Records: s.chunks[s.index]})
	case snapHead:
		if !l.unresolved() {
			s.call = l.newCall(Call{Op: PutHead, Version: l.headVersion, Head: s.head})
		}
	case snapDeleting:
		l.deleteNext(0)
	}
}

func (l *Log) snapshotTaken(e Snapshot) {
	s := &l.snap
	if s.step != snapTaking || e.First != s.first {
		return // The answer to an earlier request may lack later records.
	}
	if l.phase != open || l.isClosing() {
		// Appends that are refused after a closing began may be part of the state that was read.
		l.snap = snapshot{}
		return
	}
	if e.Failed {
		l.snap = snapshot{at: l.now.Add(AppendTimeout)}
		l.slots = SnapshotSlots
		return
	}
	s.pending = make(map[uint64]bool)
	for _, w := range append(append([]entry(nil), l.waiting...), l.queue...) {
		s.pending[w.id] = true
	}
	s.step, s.index, s.chunks = snapMark, 0, split(e.Records)
	s.head = Head{
		Epoch: l.epoch, WriteID: l.writeID(), First: s.first, Oldest: l.head.First,
		Chunks: len(s.chunks), Stale: l.replaced(), Complete: l.complete,
	}
	if len(s.chunks) == 0 {
		s.step = snapHead
	}
}

// replaced lists the snapshots whose chunks are to be deleted once another head is written.
func (l *Log) replaced() []Area {
	out := slices.Clone(l.stale)
	if a := l.head.area(); a.Chunks > 0 {
		out = append(out, a)
	}
	return out
}

func (h Head) area() Area { return Area{First: h.First, Chunks: h.Chunks} }

// unresolved reports whether the snapshot may contain a record that can still be refused as not in the log.
func (l *Log) unresolved() bool {
	for _, list := range [][]entry{l.waiting, l.queue} {
		for _, e := range list {
			if l.snap.pending[e.id] {
				return true
			}
		}
	}
	return false
}

// split divides records into chunks of at most MaxSlotBytes.
func split(records []Record) (out [][]Record) {
	size := 0
	for i, r := range records {
		size += r.size()
		if i == 0 || size > MaxSlotBytes {
			out, size = append(out, nil), r.size()
		}
		out[len(out)-1] = append(out[len(out)-1], r)
	}
	return out
}

func (l *Log) snapshotResult(c Call, r Result) {
	s := &l.snap
	if r.Status == Lost {
		if c.Op == PutHead {
			c = Call{Op: ReadHead}
		}
		s.at = l.now.Add(RetryDelay)
		if c.Op == ReadHead {
			s.call, s.at = l.newCall(c), time.Time{}
		}
		return
	}
	switch c.Op {
	case PutChunk:
		if r.Status == Conflict {
			c.Version = r.Version
			s.call = l.newCall(c)
			return
		}
		s.index++
		if s.index == len(s.chunks) {
			s.step = snapHead
		}
	case PutHead, ReadHead:
		l.headWritten(c, r)
	default:
		l.deleted(c, r)
	}
}

// headWritten takes the answer to a write of the head or its read-back.
func (l *Log) headWritten(c Call, r Result) {
	s := &l.snap
	switch {
	case c.Op == PutHead && r.Status == OK || r.Head.WriteID == s.head.WriteID:
		s.step, s.delete, s.area, s.index, s.chunks = snapDeleting, l.head.Oldest, 0, 0, nil
		l.head, l.headVersion, l.stale = s.head, r.Version, nil
	case l.epoch.Less(r.Head.Epoch):
		l.fenced(r.Head.Epoch)
	default:
		// An older holder wrote a snapshot of slots before the seal; the own one replaces it.
		l.headVersion = r.Version
	}
}

// deleteNext removes one replaced slot or chunk. An unknown version is learned from the conflict.
func (l *Log) deleteNext(version uint64) {
	s := &l.snap
	switch {
	case s.delete < s.head.First:
		if version == 0 {
			version = l.versions[s.delete]
		}
		s.call = l.newCall(Call{Op: DeleteSlot, N: s.delete, Version: version})
	case s.area < len(s.head.Stale):
		s.call = l.newCall(Call{Op: DeleteChunk, N: s.head.Stale[s.area].First, Chunk: s.index, Version: version})
	default:
		l.snap = snapshot{}
	}
}

func (l *Log) deleted(c Call, r Result) {
	s := &l.snap
	if r.Status == Conflict && r.Version != 0 && r.Slot.Kind != Seal {
		l.deleteNext(r.Version)
		return
	}
	if c.Op == DeleteSlot {
		delete(l.versions, s.delete)
		s.delete++
	} else if s.index++; s.index == s.head.Stale[s.area].Chunks {
		s.area, s.index = s.area+1, 0
	}
	s.at = l.now.Add(DeleteDelay)
}
