package fencedlog

import (
	"slices"

	"github.com/verbenaflow/verbenaflow/api/model"
)

func (l *Log) open(e model.Epoch) {
	l.abandon()
	l.epoch, l.replayDeadline, l.slotVersions = e, l.now.Add(ReplayTimeout), make(map[uint64]uint64)
	if e.Outage > 0 {
		l.phase = unsealed
		l.emit(Replayed{Epoch: e})
		return
	}
	l.phase = reading
	l.startCall(Call{Op: ReadHead})
}

func (l *Log) handleResult(r CallResult) {
	switch {
	case l.call.ID != 0 && r.ID == l.call.ID:
		c := l.call
		l.call = Call{}
		l.handleLogResult(c, r)
	case l.compaction.call.ID != 0 && r.ID == l.compaction.call.ID:
		c := l.compaction.call
		l.compaction.call = Call{}
		l.handleCompactionResult(c, r)
	}
}

func (l *Log) handleLogResult(c Call, r CallResult) {
	if r.Status == NoAnswer {
		if c.Op == PutSlot {
			// The write may have taken effect, so the slot is read before any retry.
			c = Call{Op: ReadSlot, SlotNumber: c.SlotNumber}
		}
		l.scheduleRetry(c)
		return
	}
	switch c.Op {
	case ReadHead:
		l.handleHeadRead(r)
	case ReadChunk:
		if r.Version == 0 {
			// A newer snapshot has replaced the chunk.
			l.scheduleRetry(Call{Op: ReadHead})
			return
		}
		l.replayRecords = append(l.replayRecords, r.Records...)
		l.nextChunk++
		l.readNext()
	case ReadSlot, PutSlot:
		if c.Op == PutSlot && r.Status == OK {
			r.Slot = l.slot
		}
		l.handleSlot(c.SlotNumber, r)
	}
}

// handleHeadRead starts the replay, or ends it if the log is sealed and the head is unchanged since the replay began.
// Slots are deleted only after a new head is written, so an unchanged head proves that no slot was deleted between the
// start of the replay and the seal.
func (l *Log) handleHeadRead(r CallResult) {
	if l.slot.Kind == Seal && r.Version == l.headVersion {
		l.slot, l.phase, l.replayReported = Slot{}, open, true
		l.emit(Replayed{Epoch: l.epoch, Records: l.replayRecords, Sealed: true, Complete: slices.Clone(l.completeEpochs)})
		l.replayRecords = nil
		return
	}
	l.head, l.headVersion = r.Head, r.Version
	l.completeEpochs, l.nextSlot = slices.Clone(r.Head.Complete), r.Head.First
	l.replayRecords, l.nextChunk, l.slotsSinceSnapshot, l.bytesSinceSnapshot, l.slot = nil, 0, 0, 0, Slot{}
	l.staleSnapshots = slices.Clone(r.Head.Stale)
	l.readNext()
}

// readNext reads the next chunk of the snapshot, or the next slot after the last chunk.
func (l *Log) readNext() {
	if l.nextChunk < l.head.Chunks {
		l.startCall(Call{Op: ReadChunk, SlotNumber: l.head.First, Chunk: l.nextChunk})
		return
	}
	l.startCall(Call{Op: ReadSlot, SlotNumber: l.nextSlot})
}

// handleSlot applies the content of the next slot after a read or a write. An absent slot is written.
func (l *Log) handleSlot(n uint64, r CallResult) {
	own := r.Version != 0 && l.slot.WriteID != "" && r.Slot.WriteID == l.slot.WriteID
	switch {
	case own:
		l.handleSlotWritten(r.Version)
	case r.Version != 0 && (l.phase == open || l.epoch.Less(r.Slot.Epoch)):
		l.handleFenced(r.Slot.Epoch)
	case r.Version != 0:
		l.slot = Slot{}
		l.replaySlot(r)
		l.startCall(Call{Op: ReadSlot, SlotNumber: l.nextSlot})
	default:
		if l.slot.Kind == "" {
			l.slot = Slot{Kind: Seal, Epoch: l.epoch, WriteID: l.newWriteID()}
		}
		l.startCall(Call{Op: PutSlot, SlotNumber: n, Slot: l.slot})
	}
}

// replaySlot applies a slot of an earlier holder.
func (l *Log) replaySlot(r CallResult) {
	l.countSlot(r.Version, r.Slot)
	l.replayRecords = append(l.replayRecords, r.Slot.Records...)
	if a := r.Slot.Snapshot; a.Chunks > 0 && a.First != l.head.First {
		l.staleSnapshots = append(l.staleSnapshots, a)
	}
	if r.Slot.Kind == Close && r.Slot.Complete {
		l.completeEpochs = append(l.completeEpochs, r.Slot.Epoch)
		l.completeEpochs = l.completeEpochs[max(0, len(l.completeEpochs)-maxCompleteEpochs):]
	}
}

func (l *Log) countSlot(version uint64, s Slot) {
	if s.Kind != Seal {
		l.slotVersions[l.nextSlot] = version
	}
	for _, r := range s.Records {
		l.bytesSinceSnapshot += r.size()
	}
	l.slotsSinceSnapshot++
	l.nextSlot++
}

// handleSlotWritten completes the slot in flight. A seal takes effect once the head is known to be unchanged.
func (l *Log) handleSlotWritten(version uint64) {
	l.countSlot(version, l.slot)
	if l.slot.Kind == Seal {
		l.startCall(Call{Op: ReadHead})
		return
	}
	if l.slot.Kind == Close {
		l.phase = ended
	}
	if l.slot.Snapshot.Chunks > 0 {
		l.compaction.step = stepWritingChunks
	}
	l.slot = Slot{}
	for _, e := range l.inFlight {
		l.emit(AppendResult{ID: e.id, Outcome: Durable})
	}
	l.inFlight = nil
}

// handleFenced stops the log because a higher epoch e has sealed it, and refuses all unanswered appends.
func (l *Log) handleFenced(e model.Epoch) {
	for _, w := range append(l.inFlight, l.queue...) {
		l.emit(AppendResult{ID: w.id, Outcome: NotHolder})
	}
	l.inFlight, l.queue, l.slot, l.phase = nil, nil, Slot{}, ended
	l.emit(Fenced{Epoch: e})
}
