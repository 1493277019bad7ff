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

// Paths of the control interface. All take POST requests.
const (
	// PathSetVMs replaces the list by the VMs in the body.
	PathSetVMs = "/standin/vms"
	// PathSetLeaving applies the SetLeaving in the body.
	PathSetLeaving = "/standin/leaving"
	// PathFaults replaces all faults by the Faults in the body.
	PathFaults = "/standin/faults"
)

// SetLeaving sets whether a VM is leaving.
type SetLeaving struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
}

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// CutDomains closes the connections of callers in these failure domains without an answer.
	CutDomains []string `json:"cut,omitempty"`
	// Frozen stops the publication of changes. The changes made meanwhile are published when it ends.
	Frozen bool `json:"frozen,omitempty"`
}

type listQuery vmlist.Query

// Kind implements kernel.Message.
func (listQuery) Kind() string { return "vm_list_query" }

type listReply vmlist.List

// Kind implements kernel.Message.
func (listReply) Kind() string { return "vm_list" }

type setVMs []model.VM

// Kind implements kernel.Message.
func (setVMs) Kind() string { return "vm_list_set" }

type (
	publishDue struct{ vms []model.VM }
	waitDue    struct{ w *waiter }
)

// Kind implements kernel.Message.
func (publishDue) Kind() string { return "vm_list_publish_due" }

// Kind implements kernel.Message.
func (waitDue) Kind() string { return "vm_list_wait_due" }

// Kind implements kernel.Message.
func (SetLeaving) Kind() string { return "vm_list_leaving" }

// Kind implements kernel.Message.
func (Faults) Kind() string { return "vm_list_faults" }

// waiter is a query that waits for a change.
type waiter struct {
	env    kernel.Envelope
	source string
}

// VMList is the service that holds the list.
type VMList struct {
	lag time.Duration
	// actual is the present state of the fleet. pending is the last state whose lag has passed, which is published unless
	// the list is frozen. published is the list that callers get.
	actual, pending []model.VM
	published       vmlist.List
	faults          Faults
	waiters         []*waiter
}

// New returns a list that publishes changes after a lag.
func New(vms []model.VM, lag time.Duration) *VMList {
	return &VMList{lag: lag, actual: vms, pending: vms, published: vmlist.List{Revision: 1, VMs: vms}}
}

// Run serves the list until ctx ends. It takes ownership of the listener.
func Run(ctx context.Context, l net.Listener, s *VMList) error {
	return host.Run(ctx, l, s,
		host.JSONRoute(vmlist.PathList, func(q vmlist.Query) kernel.Message { return listQuery(q) }),
		host.JSONRoute(PathSetVMs, func(v []model.VM) kernel.Message { return setVMs(v) }),
		host.JSONRoute(PathSetLeaving, func(m SetLeaving) kernel.Message { return m }),
		host.JSONRoute(PathFaults, func(f Faults) kernel.Message { return f }),
	)
}

// Start implements kernel.Service.
func (s *VMList) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (s *VMList) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (s *VMList) Handle(c *kernel.Context, e kernel.Envelope) {
	switch m := e.Body.(type) {
	case listQuery:
		s.handleQuery(c, e, m)
	case waitDue:
		s.waiters = slices.DeleteFunc(s.waiters, func(o *waiter) bool { return o == m.w })
		m.w.env.Reply(listReply(s.published))
	case setVMs:
		s.replace(c, m)
		e.Reply(listReply(s.published))
	case SetLeaving:
		s.markLeaving(c, e, m)
	case Faults:
		s.setFaults(m)
		e.Reply(listReply(s.published))
	case publishDue:
		s.pending = m.vms
		s.publish()
	}
}

func (s *VMList) handleQuery(c *kernel.Context, e kernel.Envelope, q listQuery) {
	switch {
	case slices.Contains(s.faults.CutDomains, q.Source):
		e.Fail(&host.AbortError{})
	case q.After != s.published.Revision:
		e.Reply(listReply(s.published))
	default:
		w := &waiter{env: e, source: q.Source}
		s.waiters = append(s.waiters, w)
		c.SendAfter(time.Duration(q.WaitMS)*time.Millisecond, waitDue{w: w})
	}
}

// replace replaces the state of the fleet, which is published after the lag.
func (s *VMList) replace(c *kernel.Context, vms []model.VM) {
	s.actual = vms
	c.SendAfter(s.lag, publishDue{vms: vms})
}

func (s *VMList) markLeaving(c *kernel.Context, e kernel.Envelope, m SetLeaving) {
	i := slices.IndexFunc(s.actual, func(vm model.VM) bool { return vm.ID == m.ID })
	if i < 0 {
		e.Fail(&host.StatusError{Status: http.StatusNotFound, Body: m.ID})
		return
	}
	vms := slices.Clone(s.actual)
	vms[i].Leaving = m.Leaving
	s.replace(c, vms)
	e.Reply(listReply(s.published))
}

func (s *VMList) setFaults(f Faults) {
	s.faults = f
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		cut := slices.Contains(f.CutDomains, w.source)
		if cut {
			w.env.Fail(&host.AbortError{})
		}
		return cut
	})
	s.publish()
}

// publish publishes the pending state if it differs and the list is not frozen, and answers all waiting queries.
func (s *VMList) publish() {
	if s.faults.Frozen || slices.Equal(s.pending, s.published.VMs) {
		return
	}
	s.published = vmlist.List{Revision: s.published.Revision + 1, VMs: s.pending}
	for _, w := range s.waiters {
		w.env.Reply(listReply(s.published))
	}
	s.waiters = nil
}
