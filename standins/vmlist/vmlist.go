// Package vmlist is a small stand-in for the platform's list of live and leaving VMs.
package vmlist

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// Paths of the controls. All are POST.
const (
	// PathSet replaces the list by the VMs in the body.
	PathSet = "/standin/vms"
	// PathLeaving marks the VM of a Leaving body.
	PathLeaving = "/standin/leaving"
	// PathFaults replaces all faults by the Faults in the body.
	PathFaults = "/standin/faults"
)

// Leaving marks a VM as leaving or takes the mark back.
type Leaving struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
}

// Faults are the faults that the list shows. The zero value shows none.
type Faults struct {
	// Cut closes the connections of callers in these failure domains without an answer.
	Cut []string `json:"cut,omitempty"`
	// Frozen keeps the list as it is; the changes made meanwhile show when it ends.
	Frozen bool `json:"frozen,omitempty"`
}

type query vmlist.Query

// Kind implements kernel.Message.
func (query) Kind() string { return "vm_list_query" }

type answer vmlist.List

// Kind implements kernel.Message.
func (answer) Kind() string { return "vm_list" }

type set []model.VM

// Kind implements kernel.Message.
func (set) Kind() string { return "vm_list_set" }

type (
	publishDue struct{ vms []model.VM }
	waitDue    struct{ w *waiter }
)

// Kind implements kernel.Message.
func (publishDue) Kind() string { return "vm_list_publish_due" }

// Kind implements kernel.Message.
func (waitDue) Kind() string { return "vm_list_wait_due" }

// Kind implements kernel.Message.
func (Leaving) Kind() string { return "vm_list_leaving" }

// Kind implements kernel.Message.
func (Faults) Kind() string { return "vm_list_faults" }

// waiter is a query that waits for a change.
type waiter struct {
	env    kernel.Envelope
	source string
}

// State holds the list.
type State struct {
	lag time.Duration
	// actual is the present state of the fleet, due the one that shows once the lag has passed and list the
	// one that shows.
	actual, due []model.VM
	list        vmlist.List
	faults      Faults
	waiting     []*waiter
}

// New returns a list that shows changes after a lag.
func New(vms []model.VM, lag time.Duration) *State {
	return &State{lag: lag, actual: vms, due: vms, list: vmlist.List{Revision: 1, VMs: vms}}
}

// Run serves the list until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	return host.Run(ctx, l, s,
		host.JSON(vmlist.PathList, func(q vmlist.Query) kernel.Message { return query(q) }),
		host.JSON(PathSet, func(v []model.VM) kernel.Message { return set(v) }),
		host.JSON(PathLeaving, func(m Leaving) kernel.Message { return m }),
		host.JSON(PathFaults, func(f Faults) kernel.Message { return f }),
	)
}

// Start implements kernel.Service.
func (s *State) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *State) Drain(c *kernel.Context) { c.Drained() }

// Handle implements kernel.Service.
func (s *State) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case query:
		s.query(c, e, m)
	case waitDue:
		s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == m.w })
		m.w.env.Reply(answer(s.list))
	case set:
		s.change(c, m)
		e.Reply(answer(s.list))
	case Leaving:
		s.mark(c, e, m)
	case Faults:
		s.setFaults(m)
		e.Reply(answer(s.list))
	case publishDue:
		s.due = m.vms
		s.publish()
	}
}

func (s *State) query(c *kernel.Context, e kernel.Envelope, q query) {
	switch {
	case slices.Contains(s.faults.Cut, q.Source):
		e.Fail(&host.AbortError{})
	case q.After != s.list.Revision:
		e.Reply(answer(s.list))
	default:
		w := &waiter{env: e, source: q.Source}
		s.waiting = append(s.waiting, w)
		c.After(time.Duration(q.WaitMS)*time.Millisecond, waitDue{w: w})
	}
}

// change replaces the fleet; the list shows it after the lag.
func (s *State) change(c *kernel.Context, vms []model.VM) {
	s.actual = vms
	c.After(s.lag, publishDue{vms: vms})
}

func (s *State) mark(c *kernel.Context, e kernel.Envelope, m Leaving) {
	i := slices.IndexFunc(s.actual, func(vm model.VM) bool { return vm.ID == m.ID })
	if i < 0 {
		e.Fail(&host.StatusError{Status: http.StatusNotFound, Body: m.ID})
		return
	}
	vms := slices.Clone(s.actual)
	vms[i].Leaving = m.Leaving
	s.change(c, vms)
	e.Reply(answer(s.list))
}

func (s *State) setFaults(f Faults) {
	s.faults = f
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		cut := slices.Contains(f.Cut, w.source)
		if cut {
			w.env.Fail(&host.AbortError{})
		}
		return cut
	})
	s.publish()
}

// publish shows the list that is due, unless the list is frozen.
func (s *State) publish() {
	if s.faults.Frozen || slices.Equal(s.due, s.list.VMs) {
		return
	}
	s.list = vmlist.List{Revision: s.list.Revision + 1, VMs: s.due}
	for _, w := range s.waiting {
		w.env.Reply(answer(s.list))
	}
	s.waiting = nil
}
