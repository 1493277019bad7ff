package fencedlog

import (
	"slices"
	"time"
)

// compactionStep is the step that a compaction has reached.
type compactionStep string

const (
	stepNone compactionStep = ""
	// stepCollecting waits for the records of the services.
	stepCollecting compactionStep = "taking"
	// stepMarking waits for the slot that names the chunks to be written.
	stepMarking       compactionStep = "mark"
	stepWritingChunks compactionStep = "chunks"
	stepWritingHead   compactionStep = "head"
	stepDeleting      compactionStep = "deleting"
)

// compactionState is the state of the compaction in progress.
type compactionState struct {
	step       compactionStep
	first      uint64
	chunks     [][]Record
	chunkIndex int
	// unresolved holds the appends that the snapshot may contain and that were not answered when it was taken.
	unresolved map[uint64]bool
	head       Head
	// nextDelete is the next replaced slot to delete. After the slots, the chunks of the snapshots in head.Stale are
	// deleted one by one; staleIndex and chunkIndex give the next of them.
	nextDelete uint64
	staleIndex int
	call       Call
	// resumeAt is the time before which the compaction does not continue; zero if it need not wait.
	resumeAt time.Time
}

// advanceCompaction starts the next operation of the compaction.
func (l *Log) advanceCompaction() {
	s := &l.compaction
	if l.phase != open || s.call.ID != 0 || !s.resumeAt.IsZero() && l.now.Before(s.resumeAt) {
		return
	}
	s.resumeAt = time.Time{}
	switch s.step {
	case stepNone:
		if !l.isClosing() && (l.slotsSinceSnapshot >= SnapshotSlots || l.bytesSinceSnapshot >= SnapshotBytes) {
			s.step, s.first = stepCollecting, l.nextSlot
			l.slotsSinceSnapshot, l.bytesSinceSnapshot = 0, 0
			l.emit(GetSnapshot{Epoch: l.epoch, First: s.first})
		}
	case stepWritingChunks:
		s.call = l.emitCall(Call{Op: PutChunk, SlotNumber: s.first, Chunk: s.chunkIndex, Records: s.chunks[s.chunkIndex]})
	case stepWritingHead:
		if !l.hasUnresolvedAppends() {
			s.call = l.emitCall(Call{Op: PutHead, Version: l.headVersion, Head: s.head})
		}
	case stepDeleting:
		l.deleteNext(0)
	}
}

// handleSnapshot prepares the chunks and the head of the snapshot that the services delivered.
func (l *Log) handleSnapshot(e Snapshot) {
	s := &l.compaction
	if s.step != stepCollecting || e.First != s.first {
		return // The answer to an earlier request may lack records of later slots.
	}
	if l.phase != open || l.isClosing() {
		// The snapshot may contain records of appends that are refused because a closing has begun.
		l.compaction = compactionState{}
		return
	}
	if e.Failed {
		l.compaction = compactionState{resumeAt: l.now.Add(AppendTimeout)}
		l.slotsSinceSnapshot = SnapshotSlots
		return
	}
	s.unresolved = make(map[uint64]bool)
	for _, w := range append(append([]pendingAppend(nil), l.inFlight...), l.queue...) {
		s.unresolved[w.id] = true
	}
	s.step, s.chunkIndex, s.chunks = stepMarking, 0, splitChunks(e.Records)
	s.head = Head{
		Epoch: l.epoch, WriteID: l.newWriteID(), First: s.first, Oldest: l.head.First,
		Chunks: len(s.chunks), Stale: l.replacedSnapshots(), Complete: l.completeEpochs,
	}
	if len(s.chunks) == 0 {
		s.step = stepWritingHead
	}
}

// replacedSnapshots returns the snapshots whose chunks are deleted after the next head is written.
func (l *Log) replacedSnapshots() []SnapshotRef {
	out := slices.Clone(l.staleSnapshots)
	if a := l.head.snapshotRef(); a.Chunks > 0 {
		out = append(out, a)
	}
	return out
}

func (h Head) snapshotRef() SnapshotRef { return SnapshotRef{First: h.First, Chunks: h.Chunks} }

// hasUnresolvedAppends reports whether the snapshot may contain the record of an append that can still be refused as
// not in the log.
func (l *Log) hasUnresolvedAppends() bool {
	for _, list := range [][]pendingAppend{l.inFlight, l.queue} {
		for _, e := range list {
			if l.compaction.unresolved[e.id] {
				return true
			}
		}
	}
	return false
}

// splitChunks divides records into chunks of at most MaxSlotBytes each.
func splitChunks(records []Record) (out [][]Record) {
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

func (l *Log) handleCompactionResult(c Call, r CallResult) {
	s := &l.compaction
	if r.Status == NoAnswer {
		if c.Op == PutHead {
			c = Call{Op: ReadHead}
		}
		s.resumeAt = l.now.Add(RetryDelay)
		if c.Op == ReadHead {
			s.call, s.resumeAt = l.emitCall(c), time.Time{}
		}
		return
	}
	switch c.Op {
	case PutChunk:
		if r.Status == Conflict {
			c.Version = r.Version
			s.call = l.emitCall(c)
			return
		}
		s.chunkIndex++
		if s.chunkIndex == len(s.chunks) {
			s.step = stepWritingHead
		}
	case PutHead, ReadHead:
		l.handleHeadResult(c, r)
	default:
		l.handleDeleteResult(c, r)
	}
}

// handleHeadResult applies the answer to a write of the head or to the read that follows an unanswered write.
func (l *Log) handleHeadResult(c Call, r CallResult) {
	s := &l.compaction
	switch {
	case c.Op == PutHead && r.Status == OK || r.Head.WriteID == s.head.WriteID:
		s.step, s.nextDelete, s.staleIndex, s.chunkIndex, s.chunks = stepDeleting, l.head.Oldest, 0, 0, nil
		l.head, l.headVersion, l.staleSnapshots = s.head, r.Version, nil
	case l.epoch.Less(r.Head.Epoch):
		l.handleFenced(r.Head.Epoch)
	default:
		// An older holder wrote a head for slots before the seal. The next attempt replaces that head.
		l.headVersion = r.Version
	}
}

// deleteNext deletes one replaced slot or chunk. If its version is unknown, the conflict returns it.
func (l *Log) deleteNext(version uint64) {
	s := &l.compaction
	switch {
	case s.nextDelete < s.head.First:
		if version == 0 {
			version = l.slotVersions[s.nextDelete]
		}
		s.call = l.emitCall(Call{Op: DeleteSlot, SlotNumber: s.nextDelete, Version: version})
	case s.staleIndex < len(s.head.Stale):
		s.call = l.emitCall(Call{Op: DeleteChunk, SlotNumber: s.head.Stale[s.staleIndex].First, Chunk: s.chunkIndex, Version: version})
	default:
		l.compaction = compactionState{}
	}
}

func (l *Log) handleDeleteResult(c Call, r CallResult) {
	s := &l.compaction
	if r.Status == Conflict && r.Version != 0 && r.Slot.Kind != Seal {
		l.deleteNext(r.Version)
		return
	}
	if c.Op == DeleteSlot {
		delete(l.slotVersions, s.nextDelete)
		s.nextDelete++
	} else if s.chunkIndex++; s.chunkIndex == s.head.Stale[s.staleIndex].Chunks {
		s.staleIndex, s.chunkIndex = s.staleIndex+1, 0
	}
	s.resumeAt = l.now.Add(DeleteDelay)
}
