// Package vmlist is a small stand-in for the platform's list of live and leaving VMs.
package vmlist

import (
	"context"
	"net"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/vmlist"
	"github.com/verbenaflow/verbenaflow/standins/host"
)

// PathSet is the path that replaces the list.
const PathSet = "/standin/vms"

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
	waitDue    struct{ env kernel.Envelope }
)

// Kind implements kernel.Message.
func (publishDue) Kind() string { return "vm_list_publish_due" }

// Kind implements kernel.Message.
func (waitDue) Kind() string { return "vm_list_wait_due" }

// State holds the list.
type State struct {
	lag     time.Duration
	list    vmlist.List
	waiting []kernel.Envelope
}

// New returns a list that shows changes after a lag.
func New(vms []model.VM, lag time.Duration) *State {
	return &State{lag: lag, list: vmlist.List{Revision: 1, VMs: vms}}
}

// Run serves the list until ctx ends. It takes over the listener.
func Run(ctx context.Context, l net.Listener, s *State) error {
	return host.Run(ctx, l, s,
		host.JSON(vmlist.PathList, func(q vmlist.Query) kernel.Message { return query(q) }),
		host.JSON(PathSet, func(v []model.VM) kernel.Message { return set(v) }),
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
		if m.After != s.list.Revision {
			e.Reply(answer(s.list))
			return
		}
		s.waiting = append(s.waiting, e)
		c.After(time.Duration(m.WaitMS)*time.Millisecond, waitDue{env: e})
	case waitDue:
		m.env.Reply(answer(s.list))
	case set:
		c.After(s.lag, publishDue{vms: m})
		e.Reply(answer(s.list))
	case publishDue:
		s.publish(m.vms)
	}
}

func (s *State) publish(vms []model.VM) {
	s.list = vmlist.List{Revision: s.list.Revision + 1, VMs: vms}
	for _, e := range s.waiting {
		e.Reply(answer(s.list))
	}
	s.waiting = nil
}
