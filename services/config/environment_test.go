package config_test

import (
	"context"
	"fmt"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	decide "github.com/verbenaflow/verbenaflow/decisions/config"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/kv"
	"github.com/verbenaflow/verbenaflow/services/config"
)

const (
	nameWorld    = "world"
	nameRecorder = "recorder"
	// delay is the time of one fake call.
	delay = 5 * time.Millisecond
)

// world is a service that owns the fake store and the links between the VMs.
type world struct {
	entry   kv.Entry
	past    []kv.Entry
	down    bool
	loseOne bool
	// misname answers every watch as unchanged, with another version than it asked about.
	misname bool
	// cut lists links that lose every call; the store's end is named "store".
	cut map[[2]string]bool
	// calls counts the calls to the store.
	calls    int
	watchers []kernel.Envelope
}

type (
	storeCall struct {
		from string
		body kernel.Message
	}
	linkCheck  struct{ from, to string }
	control    struct{ change func(*world) }
	watchAlarm struct {
		env   kernel.Envelope
		after uint64
	}
)

func (storeCall) Kind() string  { return "store_call" }
func (linkCheck) Kind() string  { return "link_check" }
func (control) Kind() string    { return "control" }
func (watchAlarm) Kind() string { return "watch_alarm" }

func (w *world) Start(*kernel.Context) error { return nil }
func (w *world) Drain(c *kernel.Context)     { c.Drained() }

func (w *world) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case control:
		m.change(w)
		e.Reply(message.Done{})
	case linkCheck:
		if w.cut[[2]string{m.from, m.to}] {
			e.Fail(failure.New(failure.HomeUnreachable, "cut"))
			return
		}
		e.Reply(message.Done{})
	case storeCall:
		w.calls++
		if w.down || w.cut[[2]string{m.from, "store"}] {
			e.Fail(&kv.UnavailableError{Cause: context.DeadlineExceeded})
			return
		}
		w.store(c, e, m.body)
	case watchAlarm:
		// A change has answered the watch before, so that this answer has an effect only if there was none.
		answer := message.StoreEntry{Key: w.entry.Key, Version: m.after, Unchanged: true}
		if w.misname {
			answer.Version++
		}
		m.env.Reply(answer)
	}
}

func (w *world) current() message.StoreEntry {
	return message.StoreEntry{Key: w.entry.Key, Value: w.entry.Value, Version: w.entry.Version}
}

func (w *world) set(e kv.Entry) {
	e.Version = w.entry.Version + 1
	w.entry = e
	for _, env := range w.watchers {
		env.Reply(w.current())
	}
	w.watchers = nil
}

func (w *world) store(c *kernel.Context, e kernel.Envelope, body kernel.Message) {
	switch m := body.(type) {
	case message.StoreGet:
		e.Reply(w.current())
	case message.StoreWatch:
		if w.entry.Version != m.After && !w.misname {
			e.Reply(w.current())
			return
		}
		w.watchers = append(w.watchers, e)
		c.After(m.Wait, watchAlarm{env: e, after: m.After})
	case message.StorePut:
		if m.Expect != w.entry.Version {
			e.Fail(&kv.ConflictError{Current: w.entry})
			return
		}
		w.past = append(w.past, w.entry)
		w.set(kv.Entry{Key: m.Key, Value: m.Value})
		if w.loseOne {
			w.loseOne = false
			e.Fail(&kv.UnavailableError{MayHaveApplied: true, Cause: context.DeadlineExceeded})
			return
		}
		e.Reply(w.current())
	}
}

// fakeStore is the store service of one VM.
type fakeStore struct {
	vm    string
	world *kernel.Kernel
}

func (s *fakeStore) Start(*kernel.Context) error { return nil }
func (s *fakeStore) Drain(c *kernel.Context)     { c.Drained() }

func (s *fakeStore) Handle(c *kernel.Context, e kernel.Envelope) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		time.Sleep(delay)
		answer(ctx, e, s.world, nameWorld, storeCall{from: s.vm, body: e.Body})
		return nil
	})
}

// fakePeers is the peers service of one VM.
type fakePeers struct {
	vm    string
	world *kernel.Kernel
	vms   map[model.VMID]*vm
}

func (s *fakePeers) Start(*kernel.Context) error { return nil }
func (s *fakePeers) Drain(c *kernel.Context)     { c.Drained() }

func (s *fakePeers) Handle(c *kernel.Context, e kernel.Envelope) {
	f := e.Body.(message.Forward)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, f.Deadline)
		defer cancel()
		time.Sleep(delay)
		if _, err := s.world.Call(ctx, nameWorld, linkCheck{from: s.vm, to: string(f.VM)}); err != nil {
			e.Fail(err)
			return nil
		}
		answer(ctx, e, s.vms[f.VM].kernel, kernel.Name(f.To), f.Body)
		return nil
	})
}

func answer(ctx context.Context, e kernel.Envelope, k *kernel.Kernel, to kernel.Name, m kernel.Message) {
	reply, err := k.Call(ctx, to, m)
	if err != nil {
		e.Fail(err)
		return
	}
	e.Reply(reply)
}

// recorder follows what a VM's services learn. Its snapshot is asked for by message.
type recorder struct {
	view  decide.View
	fault string
}

type (
	viewGet   struct{}
	viewReply struct {
		view  decide.View
		fault string
	}
	announce struct{ m kernel.Message }
)

func (viewGet) Kind() string   { return "view_get" }
func (viewReply) Kind() string { return "view_reply" }
func (announce) Kind() string  { return "announce" }

func (r *recorder) Start(*kernel.Context) error { return nil }
func (r *recorder) Drain(c *kernel.Context)     { c.Drained() }

func (r *recorder) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.ConfigChanged:
		if decide.Newer(r.view.Doc, m.Config) {
			r.fault = fmt.Sprintf("went back from version %d to %d", r.view.Doc.Version, m.Config.Version)
		}
		r.view = decide.View{Doc: m.Config, Confirmed: m.Confirmed}
	case viewGet:
		e.Reply(viewReply{view: r.view, fault: r.fault})
	case announce:
		c.Publish(m.m)
	}
}

// vm is one VM with its real config service.
type vm struct {
	member model.Member
	kernel *kernel.Kernel
}

func newVM(m model.Member, w *kernel.Kernel, vms map[model.VMID]*vm) (*vm, error) {
	id := string(m.VM)
	k, err := kernel.New(nil,
		kernel.Spec{Name: names.Store, Service: &fakeStore{vm: id, world: w}},
		kernel.Spec{Name: names.Peers, Service: &fakePeers{vm: id, world: w, vms: vms}},
		kernel.Spec{Name: nameRecorder, Service: &recorder{}, Subscribes: []string{message.KindConfigChanged}},
		config.New(m, nil, metrics.New()).Spec(),
	)
	return &vm{member: m, kernel: k}, err
}
