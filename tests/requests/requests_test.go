package requests

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/standins/executor"
)

func init() { testseed.SetFlags("100") }

const (
	// leaveBound is the time after a notice in which an executor may still get new work.
	leaveBound = 2 * time.Second
	// maxSlots is the number of requests that an executor runs at a time. One more connection of the VM
	// watches the notice.
	maxSlots = 8
)

// choices are the random numbers of one step, drawn before the case runs in its bubble.
type choices []int

// n takes the next number below k.
func (p *choices) n(k int) int {
	v := (*p)[0] % k
	*p = (*p)[1:]
	return v
}

// of takes the next element of a list.
func of[T any](p *choices, list ...T) T { return list[p.n(len(list))] }

// maxChoices is the largest number of choices of a step.
const maxChoices = 9

// sender starts callers and remembers what they were told and which requests may run twice.
type sender struct {
	c          *cell
	tickets    []model.Ticket
	repeatable map[model.RequestID]bool
	results    chan result
	sent       int
}

func (s *sender) send(p *choices) {
	var ticket *model.Ticket
	key := fmt.Sprint(p.n(6))
	repeatable := false
	if p.n(3) > 0 {
		i := p.n(len(s.tickets))
		ticket, repeatable = &s.tickets[i], i%3 == 0
		s.repeatable[model.RequestID(ticket.String())] = repeatable
	}
	timeout := time.Duration(of(p, 10, 100, 400, 3000)) * time.Millisecond
	s.sent++
	go func() { s.results <- s.c.send(ticket, key, repeatable, timeout) }()
}

func (s *sender) faults(p *choices) {
	f := executor.Faults{
		Cross: p.n(3), Truncate: p.n(3), Drop: p.n(3),
		Refuse: p.n(3), Fail: p.n(3), Freeze: p.n(6) == 0,
		LateMS: int64(of(p, 0, 0, 50, 500)),
	}
	_ = of(p, s.c.execs...).SetFaults(context.Background(), f)
}

func (s *sender) step(p *choices) {
	switch p.n(10) {
	case 0:
		s.faults(p)
	case 1:
		mode, alone := storeMode(p.n(int(storeModes))), p.n(2) == 0
		s.c.control(func(_ *kernel.Context, f *fake) { f.mode, f.noPeers = mode, alone })
	case 2:
		s.c.takeover(p.n(2) == 0)
		s.tickets = append(s.tickets, s.c.issue(3)...)
	case 3:
		_ = of(p, s.c.execs...).Leave(context.Background())
	case 4, 5:
		time.Sleep(time.Duration(of(p, 1, 20, 300, 2500)) * time.Millisecond)
	default:
		s.send(p)
	}
}

// verify compares what the callers were told with what truly ran.
func (s *sender) verify() error {
	runs := map[model.RequestID]int{}
	for i, h := range s.c.histories() {
		for _, r := range h.Runs {
			runs[r.Request]++
			if h.LeftMS > 0 && r.StartMS > h.LeftMS+leaveBound.Milliseconds() {
				return fmt.Errorf("%s started %d ms after the notice", r.Request, r.StartMS-h.LeftMS)
			}
		}
		if e := s.c.execs[i]; h.PeakInUse > maxSlots || e.PeakCalls() > maxSlots || e.PeakConns() > maxSlots+1 {
			return fmt.Errorf("%d slots, %d calls and %d connections in use", h.PeakInUse, e.PeakCalls(), e.PeakConns())
		}
	}
	for id, n := range runs {
		if n > 1 && !s.repeatable[id] {
			return fmt.Errorf("%s ran %d times", id, n)
		}
	}
	for range s.sent {
		r := <-s.results
		_, ticketErr := model.ParseTicket(string(r.id))
		switch {
		case r.outcome == failure.NotRun && ticketErr == nil && runs[r.id] > 0:
			return fmt.Errorf("%s ran but was reported as not run: %s", r.id, r.reason)
		case r.outcome == failure.Run && runs[r.id] == 0:
			return fmt.Errorf("%s was reported as run and did not run", r.id)
		case r.outcome == failure.Run && r.reason == 0 && r.body != "s:"+string(r.id):
			return fmt.Errorf("%s got the response %q", r.id, r.body)
		}
	}
	return nil
}

// TestTruthfulOutcomes guards against a second run, a false outcome, a response to the wrong caller, more
// calls than slots, and new work on a leaving executor, under all faults together.
func TestTruthfulOutcomes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		number := rapid.IntRange(0, 1<<16)
		steps := rapid.SliceOfN(rapid.SliceOfN(number, maxChoices, maxChoices), 10, 60).Draw(r, "steps")
		var failed error
		synctest.Test(t, func(t *testing.T) {
			c := newCell(t, 3, 15*time.Millisecond)
			defer c.close()
			s := &sender{c: c, tickets: c.issue(6), repeatable: map[model.RequestID]bool{}, results: make(chan result, len(steps))}
			for _, step := range steps {
				s.step((*choices)(&step))
			}
			for _, e := range c.execs {
				_ = e.SetFaults(context.Background(), executor.Faults{})
			}
			time.Sleep(time.Minute)
			failed = s.verify()
		})
		if failed != nil {
			r.Fatal(failed)
		}
	})
}

// TestStoreOutageNeedsAnotherVM guards against bytes that are sent without any record of the intent.
func TestStoreOutageNeedsAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, time.Millisecond)
		defer c.close()
		tickets := c.issue(2)
		c.control(func(_ *kernel.Context, f *fake) { f.mode, f.noPeers = storeDown, true })
		r := c.send(&tickets[0], "", false, time.Second)
		g.Expect(r.outcome).To(gomega.Equal(failure.NotRun))
		g.Expect(r.reason).To(gomega.Equal(failure.IntentNotRecorded))
		g.Expect(c.histories()[0].Runs).To(gomega.BeEmpty())
		c.control(func(_ *kernel.Context, f *fake) { f.noPeers = false })
		g.Expect(c.send(&tickets[1], "", false, time.Second).outcome).To(gomega.Equal(failure.Run))
	})
}

// TestDrainCutsNothing guards against a graceful shutdown that interrupts a request in progress.
func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 2, 500*time.Millisecond)
		tickets := c.issue(13)
		results := make(chan result, len(tickets))
		for i := range 12 {
			go func() { results <- c.send(&tickets[i], "", i%2 == 0, 5*time.Second) }()
		}
		time.Sleep(100 * time.Millisecond)
		c.stop()
		time.Sleep(100 * time.Millisecond)
		late := c.send(&tickets[12], "", false, time.Second)
		g.Expect(late.outcome).To(gomega.Equal(failure.NotRun))
		g.Expect(late.reason).To(gomega.Equal(failure.Draining))
		for range 12 {
			g.Expect((<-results).outcome).To(gomega.Equal(failure.Run))
		}
		g.Expect(<-c.done).To(gomega.Succeed())
	})
}

// TestBurstOfCrossedAnswers guards against a response that reaches the wrong caller, and against more calls
// to an executor than it has slots, when many callers arrive at once and answers are swapped.
func TestBurstOfCrossedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, 10*time.Millisecond)
		defer c.close()
		g.Expect(c.execs[0].SetFaults(context.Background(), executor.Faults{Cross: 6})).To(gomega.Succeed())
		tickets := c.issue(30)
		results := make(chan result, len(tickets))
		for i := range tickets {
			go func() { results <- c.send(&tickets[i], "", false, 5*time.Second) }()
		}
		for range tickets {
			r := <-results
			g.Expect(r.outcome).To(gomega.Equal(failure.Run))
			g.Expect(r.body).To(gomega.Equal("s:" + string(r.id)))
		}
		g.Expect(c.execs[0].PeakCalls()).To(gomega.BeEquivalentTo(maxSlots))
		g.Expect(c.execs[0].PeakConns()).To(gomega.BeNumerically("<=", maxSlots+1))
	})
}

// TestPartialLedgerGivesNoSnapshot guards against a snapshot that replaces the log with the state of a holder
// that could not read it, which forgets the requests that ran.
func TestPartialLedgerGivesNoSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, c := gomega.NewWithT(t), newCell(t, 1, time.Millisecond)
		defer c.close()
		g.Expect(c.send(&c.issue(1)[0], "", false, time.Second).outcome).To(gomega.Equal(failure.Run))
		snapshot := func() error {
			_, err := c.k.Call(context.Background(), names.Dispatch, message.SnapshotGet{Epoch: c.epoch})
			return err
		}
		g.Expect(snapshot()).To(gomega.Succeed())
		c.takeover(false)
		g.Expect(snapshot()).NotTo(gomega.Succeed())
	})
}
