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

// lateCopy is the delay of the copies of the network fault duplicate.
const lateCopy = 40 * time.Second

// network is the fault of the paths between two failure domains.
type network string

const (
	intact       network = "intact"
	cut          network = "cut"
	loseRequests network = "lose requests"
	loseReplies  network = "lose replies"
	// duplicate delivers a second copy of each message lateCopy later.
	duplicate network = "duplicate"
	// loseCancels loses the cancellations only.
	loseCancels network = "lose cancellations"
)

// pair is two failure domains, a and b. The mutex guards network and loads.
type pair struct {
	mu      sync.Mutex
	network network
	loads   map[model.FailureDomain]model.DomainLoad
	worlds  map[model.FailureDomain]*world
}

func newPair() *pair {
	p := &pair{network: intact, loads: map[model.FailureDomain]model.DomainLoad{}, worlds: map[model.FailureDomain]*world{}}
	for _, d := range []model.FailureDomain{"a", "b"} {
		w := newWorldOf(d, 2)
		w.pair, p.worlds[d] = p, w
	}
	for _, w := range p.worlds {
		w.elect(true)
	}
	time.Sleep(2 * time.Second)
	return p
}

func (p *pair) close() {
	for _, w := range p.worlds {
		w.close()
	}
}

// setOut takes one failure domain out, if d is not empty, and brings the other ones in.
func (p *pair) setOut(d model.FailureDomain) {
	for name, w := range p.worlds {
		w.setOut(name == d)
	}
}

func (p *pair) locked(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *pair) setNetwork(n network) { p.locked(func() { p.network = n }) }

// at returns the world of a job.
func (p *pair) at(id model.JobID) *world {
	return p.worlds[id.Domain()]
}

func (p *pair) publishLoads(c *kernel.Context) {
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

// fakePeers carries messages to the current holder of the other failure domain.
type fakePeers struct{ pair *pair }

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

func (p *pair) deliver(ctx context.Context, m message.Forward) (kernel.Message, error) {
	time.Sleep(oneWay)
	mode, to := intact, p.worlds[m.Domain]
	p.locked(func() { mode = p.network })
	lost := failure.New(failure.HomeUnreachable, "network is %s", mode)
	_, cancels := m.Body.(message.JobCancel)
	switch {
	case mode == cut, mode == loseRequests, mode == loseCancels && cancels:
		return nil, lost
	case mode == duplicate:
		go func() {
			time.Sleep(lateCopy)
			_, _ = to.active.Load().call(m.Body)
		}()
	}
	ctx, cancel := context.WithDeadline(ctx, m.Deadline)
	defer cancel()
	reply, err := to.active.Load().kernel.Call(ctx, kernel.Name(m.To), m.Body)
	if mode == loseReplies {
		return nil, lost.WithOutcome(failure.Unknown)
	}
	return reply, err
}
