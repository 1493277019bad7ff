package scheduling

import (
	"context"
	"sync"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// duplicateDelay is the delay of the second copy of a message under the fault networkDuplicates.
const duplicateDelay = 40 * time.Second

// networkFault is a fault of the network between two failure domains.
type networkFault string

const (
	networkIntact        networkFault = "intact"
	networkCut           networkFault = "cut"
	networkLosesRequests networkFault = "lose requests"
	networkLosesReplies  networkFault = "lose replies"
	// networkDuplicates delivers a second copy of each message after duplicateDelay.
	networkDuplicates networkFault = "duplicate"
	// networkLosesCancels loses only cancellations.
	networkLosesCancels networkFault = "lose cancellations"
)

// domainPair holds two connected failure domains, a and b. The mutex guards network and loads.
type domainPair struct {
	mu      sync.Mutex
	network networkFault
	loads   map[model.FailureDomain]model.DomainLoad
	domains map[model.FailureDomain]*testDomain
}

func newDomainPair() *domainPair {
	p := &domainPair{network: networkIntact, loads: map[model.FailureDomain]model.DomainLoad{}, domains: map[model.FailureDomain]*testDomain{}}
	for _, d := range []model.FailureDomain{"a", "b"} {
		td := newNamedTestDomain(d, 2)
		td.pair, p.domains[d] = p, td
	}
	for _, td := range p.domains {
		td.elect(true)
	}
	time.Sleep(2 * time.Second)
	return p
}

func (p *domainPair) close() {
	for _, td := range p.domains {
		td.close()
	}
}

// setOut takes failure domain d out of service, if d is not empty, and brings the others back.
func (p *domainPair) setOut(d model.FailureDomain) {
	for name, td := range p.domains {
		td.setOut(name == d)
	}
}

func (p *domainPair) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *domainPair) setNetwork(n networkFault) { p.locked(func() { p.network = n }) }

// domainOf returns the failure domain that a job identifier names.
func (p *domainPair) domainOf(id model.JobID) *testDomain {
	return p.domains[id.Domain()]
}

func (p *domainPair) publishLoads(c *kernel.Context) {
	if p == nil {
		return
	}
	var out message.LoadsChanged
	p.locked(func() {
		for _, l := range p.loads {
			l.Region, l.Heard = "r", time.Now()
			out.Loads = append(out.Loads, l)
		}
	})
	c.Publish(out)
}

// fakePeers forwards messages to the current holder of the other failure domain and collects the published loads.
type fakePeers struct{ pair *domainPair }

// Start implements kernel.Service.
func (*fakePeers) Start(*kernel.Context) error { return nil }

// Drain implements kernel.Service.
func (*fakePeers) Drain(c *kernel.Context) { c.CompleteDrain() }

// Handle implements kernel.Service.
func (f *fakePeers) Handle(c *kernel.Context, e kernel.Envelope) {
	p := f.pair
	switch m := e.Body.(type) {
	case message.LoadChanged:
		if p != nil {
			p.locked(func() { p.loads[m.Load.Domain] = m.Load })
		}
	case message.Forward:
		c.Spawn(func(ctx context.Context) kernel.Message {
			if reply, err := p.deliver(ctx, m); err != nil {
				e.Fail(err)
			} else {
				e.Reply(reply)
			}
			return nil
		})
	}
}

func (p *domainPair) deliver(ctx context.Context, m message.Forward) (kernel.Message, error) {
	time.Sleep(networkDelay)
	mode, to := networkIntact, p.domains[m.Domain]
	p.locked(func() { mode = p.network })
	lost := failure.New(failure.HomeUnreachable, "network is %s", mode)
	_, cancels := m.Body.(message.JobCancel)
	switch {
	case mode == networkCut, mode == networkLosesRequests, mode == networkLosesCancels && cancels:
		return nil, lost
	case mode == networkDuplicates:
		go func() {
			time.Sleep(duplicateDelay)
			_, _ = to.active.Load().call(m.Body)
		}()
	}
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	reply, err := to.active.Load().kernel.Call(ctx, kernel.Name(m.To), m.Body)
	if mode == networkLosesReplies {
		return nil, lost.WithOutcome(failure.Unknown)
	}
	return reply, err
}
