package worker

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// maxHistoryEntries limits the entries that are kept. At the limit, the oldest tenth is dropped.
const maxHistoryEntries = 100_000

// HistoryEntry records an actual state change of a task, at the time when it happens. Faults.ReportDelayMS does not
// delay it.
type HistoryEntry struct {
	Task   model.TaskID    `json:"task"`
	GPUs   model.GPUMask   `json:"gpus"`
	State  model.TaskState `json:"state"`
	Epoch  model.Epoch     `json:"epoch"`
	Holder model.VMID      `json:"holder"`
	// At is the monotonic time since the start of the stand-in in nanoseconds.
	At time.Duration `json:"at"`
}

// RefusedExchanges counts the exchanges of a holder that were refused because the worker had accepted a higher epoch,
// or the same epoch from another holder.
type RefusedExchanges struct {
	Holder model.VMID  `json:"holder"`
	Epoch  model.Epoch `json:"epoch"`
	Count  int         `json:"count"`
}

// HistoryRequest asks for the entries from number After on. Clear deletes all entries after the answer.
type HistoryRequest struct {
	After int  `json:"after"`
	Clear bool `json:"clear"`
}

// History lists entries in the order of time.
type History struct {
	// First is the number of the first entry of the list, Next the number that the next new entry will have.
	First   int            `json:"first"`
	Next    int            `json:"next"`
	Entries []HistoryEntry `json:"entries"`
	// Refused lists the refused holders in the order of their first refusal. Clear does not delete them.
	Refused []RefusedExchanges `json:"refused,omitempty"`
	// Now is the monotonic time of the answer since the start of the stand-in in nanoseconds.
	Now time.Duration `json:"now"`
}

// Kind implements kernel.Message.
func (HistoryRequest) Kind() string { return "worker_history_request" }

// Kind implements kernel.Message.
func (History) Kind() string { return "worker_history" }

func (s *Worker) recordState(t *task) {
	if len(s.history) >= maxHistoryEntries {
		dropped := maxHistoryEntries / 10
		s.history = append([]HistoryEntry(nil), s.history[dropped:]...)
		s.firstEntry += dropped
	}
	s.history = append(s.history, HistoryEntry{
		Task: t.status.Task, GPUs: t.status.GPUs, State: t.status.State,
		Epoch: s.epoch, Holder: s.holder, At: time.Since(s.started),
	})
}

// recordRefusal counts a refused exchange. The list stays short, because an epoch has one holder.
func (s *Worker) recordRefusal(x exchange) {
	for i, r := range s.refused {
		if r.Holder == x.Holder && r.Epoch == x.Epoch {
			s.refused[i].Count++
			return
		}
	}
	s.refused = append(s.refused, RefusedExchanges{Holder: x.Holder, Epoch: x.Epoch, Count: 1})
}

func (s *Worker) historyFrom(r HistoryRequest) History {
	next := s.firstEntry + len(s.history)
	from := min(max(r.After, s.firstEntry), next)
	out := History{First: from, Next: next, Now: time.Since(s.started)}
	out.Refused = append(out.Refused, s.refused...)
	out.Entries = append([]HistoryEntry{}, s.history[from-s.firstEntry:]...)
	if r.Clear {
		s.history, s.firstEntry = nil, next
	}
	return out
}
