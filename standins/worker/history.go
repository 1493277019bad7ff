package worker

import (
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// maxHistory bounds the entries that are kept; the oldest are dropped.
const maxHistory = 100_000

// Entry records one true state change of a task.
type Entry struct {
	Task   model.TaskID    `json:"task"`
	GPUs   model.GPUMask   `json:"gpus"`
	State  model.TaskState `json:"state"`
	Epoch  model.Epoch     `json:"epoch"`
	Holder model.VMID      `json:"holder"`
	// At is the monotonic time since the start of the stand-in in nanoseconds.
	At time.Duration `json:"at"`
}

// RefusedExchange counts the exchanges of a holder that were refused because a higher epoch had been accepted.
type RefusedExchange struct {
	Holder model.VMID  `json:"holder"`
	Epoch  model.Epoch `json:"epoch"`
	Count  int         `json:"count"`
}

// HistoryRequest asks for the entries from number After on. Clear forgets all entries after the answer.
type HistoryRequest struct {
	After int  `json:"after"`
	Clear bool `json:"clear"`
}

// History lists entries in the order of their times.
type History struct {
	// First is the number of the first entry of the list, Next that of the next entry to come.
	First   int     `json:"first"`
	Next    int     `json:"next"`
	Entries []Entry `json:"entries"`
	// Refused lists the refused holders in the order of their first refusal. Clear does not forget them.
	Refused []RefusedExchange `json:"refused,omitempty"`
	// Now is the monotonic time of the answer since the start of the stand-in in nanoseconds.
	Now time.Duration `json:"now"`
}

// Kind implements kernel.Message.
func (HistoryRequest) Kind() string { return "worker_history_request" }

// Kind implements kernel.Message.
func (History) Kind() string { return "worker_history" }

func (s *State) record(t *task) {
	if len(s.history) >= maxHistory {
		dropped := maxHistory / 10
		s.history = append([]Entry(nil), s.history[dropped:]...)
		s.first += dropped
	}
	s.history = append(s.history, Entry{
		Task: t.status.Task, GPUs: t.status.GPUs, State: t.status.State,
		Epoch: s.epoch, Holder: s.holder, At: time.Since(s.started),
	})
}

// recordRefusal counts a refused exchange. An epoch has one holder, so that the list stays short.
func (s *State) recordRefusal(x exchange) {
	for i, r := range s.refused {
		if r.Holder == x.Holder && r.Epoch == x.Epoch {
			s.refused[i].Count++
			return
		}
	}
	s.refused = append(s.refused, RefusedExchange{Holder: x.Holder, Epoch: x.Epoch, Count: 1})
}

func (s *State) entries(r HistoryRequest) History {
	next := s.first + len(s.history)
	from := min(max(r.After, s.first), next)
	out := History{First: from, Next: next, Now: time.Since(s.started)}
	out.Refused = append(out.Refused, s.refused...)
	out.Entries = append([]Entry{}, s.history[from-s.first:]...)
	if r.Clear {
		s.history, s.first = nil, next
	}
	return out
}
