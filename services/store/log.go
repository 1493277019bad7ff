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

// snapshotServices lists the services whose state the log holds.
var snapshotServices = []kernel.Name{names.Scheduler, names.Dispatch}

// snapshotTimeout bounds the wait for the records of a snapshot. A service answers from its memory, but behind all
// messages that wait in its mailbox.
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
			s.step(c, fencedlog.Open{Epoch: m.Epoch})
			return
		}
		s.step(c, fencedlog.Abandon{})
	case message.MembersChanged:
		s.step(c, fencedlog.SetLogCount{Count: s.logs(m.Members)})
	case message.LogAppend:
		s.step(c, fencedlog.Append{ID: s.ask(e), Epoch: m.Epoch, Records: toRecords(m.Records)})
	case message.LogClose:
		s.step(c, fencedlog.CloseEpoch{ID: s.ask(e), Epoch: m.Epoch})
	case logTimerFired:
		s.step(c, fencedlog.TimerFired{Number: m.number})
	case logResult:
		s.step(c, m.result)
	case snapshotTaken:
		s.step(c, m.snapshot)
	}
}

// logs counts the failure domains, each of which has one log.
func (s *Service) logs(members []model.Member) int {
	domains := map[model.FailureDomain]bool{s.domain: s.domain != ""}
	for _, m := range members {
		domains[m.Domain] = true
	}
	delete(domains, "")
	return len(domains)
}

// ask keeps an envelope until its Answer and returns its number.
func (s *Service) ask(e kernel.Envelope) uint64 {
	s.appends++
	s.asked[s.appends] = e
	return s.appends
}

func (s *Service) step(c *kernel.Context, e fencedlog.Event) {
	for _, a := range s.log.Step(e, time.Now()) {
		switch a := a.(type) {
		case fencedlog.Call:
			s.callLog(c, a)
		case fencedlog.AppendResult:
			s.answer(a)
		case fencedlog.Replayed:
			c.Publish(message.LogReplayed{
				Epoch: a.Epoch, Records: fromRecords(a.Records), Sealed: a.Sealed, Complete: a.Complete,
			})
		case fencedlog.GetSnapshot:
			s.takeSnapshot(c, a)
		case fencedlog.Fenced:
			_ = c.Send(names.Authority, message.EpochRefused{Epoch: a.Epoch})
		case fencedlog.SetTimer:
			if s.cancel != nil {
				s.cancel()
			}
			s.cancel = c.After(a.Delay, logTimerFired{number: a.Number})
		}
	}
}

func (s *Service) answer(a fencedlog.AppendResult) {
	e := s.asked[a.ID]
	delete(s.asked, a.ID)
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

// callLog runs one call of the log. The log limits itself to two calls in flight.
func (s *Service) callLog(c *kernel.Context, a fencedlog.Call) {
	if a.Op == fencedlog.PutSlot {
		s.metrics.CountEvent("log_slot_writes", 1)
	}
	key, f := s.logKey(a), logOperation(a)
	s.run(c, "log_"+string(a.Op), callTimeout, func(m kernel.Message, err error) kernel.Message {
		return logResult{result: translate(a, m, err)}
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

// value is the encoded form of a slot, a chunk or the head.
type value struct {
	Slot    fencedlog.Slot     `json:"slot,omitzero"`
	Head    fencedlog.Head     `json:"head,omitzero"`
	Records []fencedlog.Record `json:"records,omitempty"`
}

func logOperation(a fencedlog.Call) func(context.Context, kv.Client, string) (kernel.Message, error) {
	return func(ctx context.Context, c kv.Client, key string) (kernel.Message, error) {
		switch a.Op {
		case fencedlog.ReadHead, fencedlog.ReadChunk, fencedlog.ReadSlot:
			return entry(c.Get(ctx, key))
		case fencedlog.DeleteSlot, fencedlog.DeleteChunk:
			return message.StoreEntry{}, c.Delete(ctx, key, a.Version)
		}
		data, err := json.Marshal(value{Slot: a.Slot, Head: a.Head, Records: a.Records})
		if err != nil {
			return nil, errors.Wrap(err, "encode log value")
		}
		return entry(c.Put(ctx, kv.Write{Key: key, Value: data, Expect: a.Version}))
	}
}

// translate turns the answer of the store into an event of the log. A value that does not decode counts as
// lost, so that nothing is decided from it.
func translate(a fencedlog.Call, m kernel.Message, err error) fencedlog.CallResult {
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
		var v value
		if json.Unmarshal(data, &v) != nil {
			return fencedlog.CallResult{ID: a.ID, Status: fencedlog.NoAnswer}
		}
		r.Slot, r.Head, r.Records = v.Slot, v.Head, v.Records
	}
	return r
}

// takeSnapshot collects the records of all services, one after the other. The result passes through the own
// mailbox, behind all appends that the services sent before they answered. A service that does not answer in
// time makes the snapshot fail, so that the log asks again.
func (s *Service) takeSnapshot(c *kernel.Context, a fencedlog.GetSnapshot) {
	out, left := fencedlog.Snapshot{First: a.First}, len(snapshotServices)
	cancel := c.After(snapshotTimeout, snapshotTaken{snapshot: fencedlog.Snapshot{First: a.First, Failed: true}})
	for _, name := range snapshotServices {
		c.Request(name, message.SnapshotGet{Epoch: a.Epoch}, func(m kernel.Message, err error) {
			reply, ok := m.(message.SnapshotReply)
			out.Failed = out.Failed || err != nil || !ok
			out.Records = append(out.Records, toRecords(reply.Records)...)
			if left--; left > 0 {
				return
			}
			cancel()
			if c.Send(names.Store, snapshotTaken{snapshot: out}) != nil {
				c.After(fencedlog.RetryDelay, snapshotTaken{snapshot: fencedlog.Snapshot{First: a.First, Failed: true}})
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
