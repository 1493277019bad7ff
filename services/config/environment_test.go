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
	nameEnvironment = "environment"
	nameRecorder    = "recorder"
	// delay is the duration of a simulated call.
	delay = 5 * time.Millisecond
)

// environment is a service that simulates the store and the network between the VMs.
type environment struct {
	entry          kv.Entry
	history        []kv.Entry
	down           bool
	loseNextAnswer bool
	// wrongVersion makes every watch return unchanged with a version other than the one it was asked about.
	wrongVersion bool
	// cutLinks holds the links, as caller and callee, on which every call fails. The store is named "store".
	cutLinks map[[2]string]bool
	// calls counts the calls to the store.
	calls    int
	watchers []kernel.Envelope
}

type (
	storeCall struct {
		from string
		body kernel.Message
	}
	linkCheck    struct{ from, to string }
	control      struct{ change func(*environment) }
	watchTimeout struct {
		env   kernel.Envelope
		after uint64
	}
)

func (storeCall) Kind() string    { return "store_call" }
func (linkCheck) Kind() string    { return "link_check" }
func (control) Kind() string      { return "control" }
func (watchTimeout) Kind() string { return "watch_timeout" }

func (env *environment) Start(*kernel.Context) error { return nil }
func (env *environment) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (env *environment) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case control:
		m.change(env)
		e.Reply(message.Done{})
	case linkCheck:
		if env.cutLinks[[2]string{m.from, m.to}] {
			e.Fail(failure.New(failure.HomeUnreachable, "cut"))
			return
		}
		e.Reply(message.Done{})
	case storeCall:
		env.calls++
		if env.down || env.cutLinks[[2]string{m.from, "store"}] {
			e.Fail(&kv.UnavailableError{Cause: context.DeadlineExceeded})
			return
		}
		env.handleStoreCall(c, e, m.body)
	case watchTimeout:
		// A change since then has already answered the watch; the kernel delivers only the first answer.
		answer := message.StoreEntry{Key: env.entry.Key, Version: m.after, Unchanged: true}
		if env.wrongVersion {
			answer.Version++
		}
		m.env.Reply(answer)
	}
}

func (env *environment) current() message.StoreEntry {
	return message.StoreEntry{Key: env.entry.Key, Value: env.entry.Value, Version: env.entry.Version}
}

func (env *environment) setEntry(e kv.Entry) {
	e.Version = env.entry.Version + 1
	env.entry = e
	for _, watcher := range env.watchers {
		watcher.Reply(env.current())
	}
	env.watchers = nil
}

func (env *environment) handleStoreCall(c *kernel.Context, e kernel.Envelope, body kernel.Message) {
	switch m := body.(type) {
	case message.StoreGet:
		e.Reply(env.current())
	case message.StoreWatch:
		if env.entry.Version != m.After && !env.wrongVersion {
			e.Reply(env.current())
			return
		}
		env.watchers = append(env.watchers, e)
		c.SendAfter(m.Wait, watchTimeout{env: e, after: m.After})
	case message.StorePut:
		if m.Expect != env.entry.Version {
			e.Fail(&kv.ConflictError{Current: env.entry})
			return
		}
		env.history = append(env.history, env.entry)
		env.setEntry(kv.Entry{Key: m.Key, Value: m.Value})
		if env.loseNextAnswer {
			env.loseNextAnswer = false
			e.Fail(&kv.UnavailableError{MayHaveApplied: true, Cause: context.DeadlineExceeded})
			return
		}
		e.Reply(env.current())
	}
}

// fakeStore stands for the store service of one VM.
type fakeStore struct {
	vm          string
	environment *kernel.Kernel
}

func (s *fakeStore) Start(*kernel.Context) error { return nil }
func (s *fakeStore) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (s *fakeStore) Handle(c *kernel.Context, e kernel.Envelope) {
	c.Spawn(func(ctx context.Context) kernel.Message {
		time.Sleep(delay)
		callAndReply(ctx, e, s.environment, nameEnvironment, storeCall{from: s.vm, body: e.Body})
		return nil
	})
}

// fakePeers stands for the peers service of one VM.
type fakePeers struct {
	vm          string
	environment *kernel.Kernel
	vms         map[model.VMID]*vm
}

func (s *fakePeers) Start(*kernel.Context) error { return nil }
func (s *fakePeers) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (s *fakePeers) Handle(c *kernel.Context, e kernel.Envelope) {
	f := e.Body.(message.Forward)
	c.Spawn(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithDeadline(ctx, f.Deadline)
		defer cancel()
		time.Sleep(delay)
		if _, err := s.environment.Call(ctx, nameEnvironment, linkCheck{from: s.vm, to: string(f.VM)}); err != nil {
			e.Fail(err)
			return nil
		}
		callAndReply(ctx, e, s.vms[f.VM].kernel, kernel.Name(f.To), f.Body)
		return nil
	})
}

func callAndReply(ctx context.Context, e kernel.Envelope, k *kernel.Kernel, to kernel.Name, m kernel.Message) {
	reply, err := k.Call(ctx, to, m)
	if err != nil {
		e.Fail(err)
		return
	}
	e.Reply(reply)
}

// recorder records the last configuration that a VM's service published. fault is set if it was older than the one
// before.
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
	publishRequest struct{ m kernel.Message }
)

func (viewGet) Kind() string        { return "view_get" }
func (viewReply) Kind() string      { return "view_reply" }
func (publishRequest) Kind() string { return "publish_request" }

func (r *recorder) Start(*kernel.Context) error { return nil }
func (r *recorder) Drain(c *kernel.Context)     { c.CompleteDrain() }

func (r *recorder) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case message.ConfigChanged:
		if decide.Newer(r.view.Doc, m.Config) {
			r.fault = fmt.Sprintf("went back from version %d to %d", r.view.Doc.Version, m.Config.Version)
		}
		r.view = decide.View{Doc: m.Config, Confirmed: m.Confirmed}
	case viewGet:
		e.Reply(viewReply{view: r.view, fault: r.fault})
	case publishRequest:
		c.Publish(m.m)
	}
}

// vm is one VM that runs the real config service.
type vm struct {
	member model.Member
	kernel *kernel.Kernel
}

func newVM(m model.Member, env *kernel.Kernel, vms map[model.VMID]*vm) (*vm, error) {
	id := string(m.VM)
	k, err := kernel.New(nil,
		kernel.Spec{Name: names.Store, Service: &fakeStore{vm: id, environment: env}},
		kernel.Spec{Name: names.Peers, Service: &fakePeers{vm: id, environment: env, vms: vms}},
		kernel.Spec{Name: nameRecorder, Service: &recorder{}, Subscriptions: []string{message.KindConfigChanged}},
		config.New(m, nil, metrics.New()).Spec(),
	)
	return &vm{member: m, kernel: k}, err
}
