// Package config is the service that owns the operators' configuration document.
package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
)

const (
	// Key is the store key of the document.
	Key = "config"
	// watchWait bounds one watch. Each answered watch confirms the document, which expires after 2 s.
	watchWait = 500 * time.Millisecond
	// watchRetry is the delay after a failed watch.
	watchRetry = 250 * time.Millisecond
)

type watchDue struct{}

// Kind implements kernel.Message.
func (watchDue) Kind() string { return "config_watch_due" }

// Service holds the document in force.
type Service struct {
	metrics   *metrics.Set
	doc       model.Config
	stored    uint64
	confirmed time.Time
}

// New returns the service.
func New(m *metrics.Set) *Service { return &Service{metrics: m} }

// Spec returns the registration of the service.
func (s *Service) Spec() kernel.Spec {
	return kernel.Spec{Name: names.Config, Service: s, After: []kernel.Name{names.Store}}
}

// Start implements kernel.Service.
func (s *Service) Start(c *kernel.Context) error {
	c.After(0, watchDue{})
	return nil
}

// Drain implements kernel.Service.
func (s *Service) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *Service) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case watchDue:
		s.watch(c)
	case message.ConfigGet:
		if s.doc.Version == 0 {
			e.Fail(s.metrics.Refusal(failure.New(failure.ConfigUnavailable, "no configuration is known yet")))
			return
		}
		e.Reply(s.reply())
	case message.ConfigPropose:
		s.propose(c, e, m)
	}
}

func (s *Service) reply() message.ConfigReply {
	return message.ConfigReply{Config: s.doc, Age: time.Since(s.confirmed)}
}

func (s *Service) watch(c *kernel.Context) {
	asked := time.Now()
	c.Request(names.Store, message.StoreWatch{Key: Key, After: s.stored, Wait: watchWait}, func(m kernel.Message, err error) {
		if err != nil {
			c.After(watchRetry, watchDue{})
			return
		}
		s.learn(c, m.(message.StoreEntry), asked)
		c.After(0, watchDue{})
	})
}

// learn applies an entry of the store that was current at the given time or later.
func (s *Service) learn(c *kernel.Context, e message.StoreEntry, at time.Time) {
	s.stored = e.Version
	var doc model.Config
	if e.Version == 0 || json.Unmarshal(e.Value, &doc) != nil || doc.Version < s.doc.Version {
		return
	}
	s.doc, s.confirmed = doc, at
	c.Publish(message.ConfigChanged{Config: s.doc, Confirmed: s.confirmed})
}

func (s *Service) propose(c *kernel.Context, e kernel.Envelope, m message.ConfigPropose) {
	if m.Expect != s.doc.Version {
		e.Fail(s.metrics.Refusal(failure.New(failure.ConfigConflict, "version %d is in force, not %d", s.doc.Version, m.Expect)))
		return
	}
	next := apply(s.doc, m.Change)
	next.Version++
	next.WriteID = uuid.NewString()
	value, err := json.Marshal(next)
	if err != nil {
		e.Fail(failure.New(failure.Internal, "encode configuration: %v", err))
		return
	}
	asked := time.Now()
	c.Request(names.Store, message.StorePut{Key: Key, Value: value, Expect: s.stored}, func(r kernel.Message, err error) {
		var conflict *kv.ConflictError
		switch {
		case errors.As(err, &conflict):
			e.Fail(s.metrics.Refusal(failure.New(failure.ConfigConflict, "another change was first")))
		case err != nil:
			e.Fail(s.metrics.Refusal(failure.New(failure.StoreUnavailable, "%v", err).WithOutcome(failure.Unknown)))
		default:
			entry := r.(message.StoreEntry)
			entry.Value = value
			s.learn(c, entry, asked)
			e.Reply(s.reply())
		}
	})
}

// apply returns the document with one change.
func apply(doc model.Config, ch message.ConfigChange) model.Config {
	next := doc
	next.Presets = make(map[string]model.Preset, len(doc.Presets)+1)
	for name, p := range doc.Presets {
		next.Presets[name] = p
	}
	next.Out = slices.Clone(doc.Out)
	switch {
	case ch.UsePreset != "":
		next.InForce = ch.UsePreset
	case ch.PutPreset != nil:
		next.Presets[ch.PutPreset.Name] = ch.PutPreset.Preset
		if next.InForce == "" {
			next.InForce = ch.PutPreset.Name
		}
	case ch.TakeOut != "" && !slices.Contains(next.Out, ch.TakeOut):
		next.Out = append(next.Out, ch.TakeOut)
		slices.Sort(next.Out)
	case ch.BringIn != "":
		next.Out = slices.DeleteFunc(next.Out, func(d model.FailureDomain) bool { return d == ch.BringIn })
	}
	return next
}
