package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/decisions/fencedlog"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

// snapshotServices lists the services whose records the log holds.
var snapshotServices = []kernel.Name{names.Scheduler, names.Dispatch}

// snapshotTimeout bounds the wait for the records of a snapshot. A service answers from memory, but only after all
// messages that are already in its mailbox.
const snapshotTimeout = 5 * time.Second

type (
	logTimerFired struct{ number uint64 }
	logResult     struct{ result fencedlog.CallResult }
	snapshotTaken struct{ snapshot fencedlog.Snapshot }
	probeDone     struct{ err error }
)

// Kind implements kernel.Message.
func (logTimerFired) Kind() string { return "log_wake_due" }

// Kind implements kernel.Message.
func (logResult) Kind() string { return "log_call_done" }

// Kind implements kernel.Message.
func (snapshotTaken) Kind() string { return "log_snapshot_taken" }

// Kind implements kernel.Message.
func (probeDone) Kind() string { return "store_probe_done" }

func (s *Service) handleLog(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.AuthorityChanged:
		s.domain = m.Domain
		if m.Holder {
			s.stepLog(c, fencedlog.Open{Epoch: m.Epoch})
			return
		}
		s.stepLog(c, fencedlog.Abandon{})
	case message.MembersChanged:
		s.stepLog(c, fencedlog.SetLogCount{Count: s.countLogs(m.Members)})
	case message.LogAppend:
		s.stepLog(c, fencedlog.Append{ID: s.register(e), Epoch: m.Epoch, Records: toRecords(m.Records)})
	case message.LogClose:
		s.stepLog(c, fencedlog.CloseEpoch{ID: s.register(e), Epoch: m.Epoch})
	case logTimerFired:
		s.stepLog(c, fencedlog.TimerFired{Number: m.number})
	case logResult:
		s.stepLog(c, m.result)
	case snapshotTaken:
		s.stepLog(c, m.snapshot)
	}
}

// countLogs returns the number of logs, which is the number of failure domains.
func (s *Service) countLogs(members []model.Member) int {
	domains := map[model.FailureDomain]bool{s.domain: s.domain != ""}
	for _, m := range members {
		domains[m.Domain] = true
	}
	delete(domains, "")
	return len(domains)
}

// register keeps an envelope until answerCaller answers it, and returns its number.
func (s *Service) register(e kernel.Envelope) uint64 {
	s.lastID++
	s.pendingAnswers[s.lastID] = e
	return s.lastID
}

func (s *Service) stepLog(c *kernel.Context, e fencedlog.Event) {
	for _, a := range s.log.Step(e, time.Now()) {
		switch a := a.(type) {
		case fencedlog.Call:
			s.callLog(c, a)
		case fencedlog.AppendResult:
			s.answerCaller(a)
		case fencedlog.Replayed:
			c.Publish(message.LogReplayed{
				Epoch: a.Epoch, Records: fromRecords(a.Records), Sealed: a.Sealed, Complete: a.Complete,
			})
		case fencedlog.GetSnapshot:
			s.takeSnapshot(c, a)
		case fencedlog.Fenced:
			_ = c.Send(names.Authority, message.EpochRefused{Epoch: a.Epoch})
		case fencedlog.SetTimer:
			if s.cancelTimer != nil {
				s.cancelTimer()
			}
			s.cancelTimer = c.SendAfter(a.Delay, logTimerFired{number: a.Number})
		}
	}
}

func (s *Service) answerCaller(a fencedlog.AppendResult) {
	e := s.pendingAnswers[a.ID]
	delete(s.pendingAnswers, a.ID)
	refuse := func(r failure.Reason, text string) { e.Fail(s.metrics.CountRefusal(failure.New(r, "%s", text))) }
	switch a.Outcome {
	case fencedlog.NotHolder:
		refuse(failure.NotHolder, "the log belongs to another epoch")
	case fencedlog.Unavailable:
		refuse(failure.StoreUnavailable, "the records may not be in the log")
	case fencedlog.TooLarge:
		refuse(failure.TooLarge, "the records exceed one slot of the log")
	default:
		if _, closing := e.Body.(message.LogClose); closing {
			e.Reply(message.Done{})
			return
		}
		s.metrics.CountEvent("log_appends", 1)
		e.Reply(message.LogAppended{})
	}
}

// callLog starts a call of the log. maxInFlight does not apply, because the log has at most two calls in flight.
func (s *Service) callLog(c *kernel.Context, a fencedlog.Call) {
	if a.Op == fencedlog.PutSlot {
		s.metrics.CountEvent("log_slot_writes", 1)
	}
	key, f := s.logKey(a), logOperationFor(a)
	s.spawnCall(c, "log_"+string(a.Op), callTimeout, func(m kernel.Message, err error) kernel.Message {
		return logResult{result: toCallResult(a, m, err)}
	}, func(ctx context.Context, client kv.Client) (kernel.Message, error) { return f(ctx, client, key) })
}

func (s *Service) logKey(a fencedlog.Call) string {
	prefix := "fd/" + string(s.domain)
	switch a.Op {
	case fencedlog.ReadHead, fencedlog.PutHead:
		return prefix + "/snap/head"
	case fencedlog.ReadChunk, fencedlog.PutChunk, fencedlog.DeleteChunk:
		return fmt.Sprintf("%s/snap/%d/%d", prefix, a.SlotNumber, a.Chunk)
	}
	return fmt.Sprintf("%s/log/%d", prefix, a.SlotNumber)
}

// logValue is the stored form of a slot, a chunk or the head of the log.
type logValue struct {
	Slot    fencedlog.Slot     `json:"slot,omitzero"`
	Head    fencedlog.Head     `json:"head,omitzero"`
	Records []fencedlog.Record `json:"records,omitempty"`
}

func logOperationFor(a fencedlog.Call) func(context.Context, kv.Client, string) (kernel.Message, error) {
	return func(ctx context.Context, c kv.Client, key string) (kernel.Message, error) {
		switch a.Op {
		case fencedlog.ReadHead, fencedlog.ReadChunk, fencedlog.ReadSlot:
			return toStoreEntry(c.Get(ctx, key))
		case fencedlog.DeleteSlot, fencedlog.DeleteChunk:
			return message.StoreEntry{}, c.Delete(ctx, key, a.Version)
		}
		data, err := json.Marshal(logValue{Slot: a.Slot, Head: a.Head, Records: a.Records})
		if err != nil {
			return nil, errors.Wrap(err, "encode log value")
		}
		return toStoreEntry(c.Put(ctx, kv.Write{Key: key, Value: data, Expect: a.Version}))
	}
}

// toCallResult translates the answer of the store into an event of the log. A value that cannot be decoded counts as no
// answer, so that the log makes no decision from it.
func toCallResult(a fencedlog.Call, m kernel.Message, err error) fencedlog.CallResult {
	r := fencedlog.CallResult{ID: a.ID, Status: fencedlog.OK}
	var data []byte
	var conflict *kv.ConflictError
	switch {
	case errors.As(err, &conflict):
		r.Status, r.Version, data = fencedlog.Conflict, conflict.Current.Version, conflict.Current.Value
	case err != nil:
		r.Status = fencedlog.NoAnswer
	default:
		e := m.(message.StoreEntry)
		r.Version, data = e.Version, e.Value
	}
	if len(data) > 0 {
		var v logValue
		if json.Unmarshal(data, &v) != nil {
			return fencedlog.CallResult{ID: a.ID, Status: fencedlog.NoAnswer}
		}
		r.Slot, r.Head, r.Records = v.Slot, v.Head, v.Records
	}
	return r
}

// takeSnapshot collects the records of all services. The result passes through the own mailbox, behind all appends that
// the services sent before they answered. If a service does not answer in time, the snapshot fails and the log requests
// it again.
func (s *Service) takeSnapshot(c *kernel.Context, a fencedlog.GetSnapshot) {
	out, unanswered := fencedlog.Snapshot{First: a.First}, len(snapshotServices)
	cancel := c.SendAfter(snapshotTimeout, snapshotTaken{snapshot: fencedlog.Snapshot{First: a.First, Failed: true}})
	for _, name := range snapshotServices {
		c.Request(name, message.SnapshotGet{Epoch: a.Epoch}, func(m kernel.Message, err error) {
			reply, ok := m.(message.SnapshotReply)
			out.Failed = out.Failed || err != nil || !ok
			out.Records = append(out.Records, toRecords(reply.Records)...)
			if unanswered--; unanswered > 0 {
				return
			}
			cancel()
			if c.Send(names.Store, snapshotTaken{snapshot: out}) != nil {
				c.SendAfter(fencedlog.RetryDelay, snapshotTaken{snapshot: fencedlog.Snapshot{First: a.First, Failed: true}})
			}
		})
	}
}

func toRecords(in []message.LogRecord) []fencedlog.Record {
	out := make([]fencedlog.Record, len(in))
	for i, r := range in {
		out[i] = fencedlog.Record{Service: r.Service, Data: r.Data}
	}
	return out
}

func fromRecords(in []fencedlog.Record) []message.LogRecord {
	out := make([]message.LogRecord, len(in))
	for i, r := range in {
		out[i] = message.LogRecord{Service: r.Service, Data: r.Data}
	}
	return out
}
