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
	// maxStartAfterNotice is the longest time after its leaving notice at which an executor may still start a request.
	maxStartAfterNotice = 2 * time.Second
	// executorSlots is the number of requests that an executor runs at a time. The VM has one more connection to it, which
	// waits for the leaving notice.
	executorSlots = 8
)

// choices holds the random numbers of one step. They are drawn before the case runs, because the case runs in a
// synctest bubble and rapid draws outside of it.
type choices []int

// intn consumes a number and returns it modulo k.
func (p *choices) intn(k int) int {
	v := (*p)[0] % k
	*p = (*p)[1:]
	return v
}

// pick consumes a number and returns the element of the list that it selects.
func pick[T any](p *choices, list ...T) T { return list[p.intn(len(list))] }

// choicesPerStep is the largest number of choices that a step consumes.
const choicesPerStep = 9

// requestScenario runs the steps of one case. It sends requests, and records the reported results and which requests
// may run more than once.
type requestScenario struct {
	harness    *harness
	tickets    []model.Ticket
	repeatable map[model.RequestID]bool
	results    chan result
	sentCount  int
}

func (s *requestScenario) send(p *choices) {
	var ticket *model.Ticket
	key := fmt.Sprint(p.intn(6))
	repeatable := false
	if p.intn(3) > 0 {
		i := p.intn(len(s.tickets))
		ticket, repeatable = &s.tickets[i], i%3 == 0
		s.repeatable[model.RequestID(ticket.String())] = repeatable
	}
	timeout := time.Duration(pick(p, 10, 100, 400, 3000)) * time.Millisecond
	s.sentCount++
	go func() { s.results <- s.harness.send(ticket, key, repeatable, timeout) }()
}

func (s *requestScenario) injectFaults(p *choices) {
	f := executor.Faults{
		SwapAnswers: p.intn(3), TruncateAnswers: p.intn(3), DropAnswers: p.intn(3),
		RefuseCalls: p.intn(3), FailCalls: p.intn(3), FreezeAnswers: p.intn(6) == 0,
		AnswerDelayMS: int64(pick(p, 0, 0, 50, 500)),
	}
	_ = pick(p, s.harness.execs...).SetFaults(context.Background(), f)
}

func (s *requestScenario) step(p *choices) {
	switch p.intn(10) {
	case 0:
		s.injectFaults(p)
	case 1:
		mode, peersUnreachable := storeMode(p.intn(int(storeModeCount))), p.intn(2) == 0
		s.harness.withFake(func(_ *kernel.Context, f *fakeService) { f.storeMode, f.peersUnreachable = mode, peersUnreachable })
	case 2:
		s.harness.takeOver(p.intn(2) == 0)
		s.tickets = append(s.tickets, s.harness.issueTickets(3)...)
	case 3:
		_ = pick(p, s.harness.execs...).Leave(context.Background())
	case 4, 5:
		time.Sleep(time.Duration(pick(p, 1, 20, 300, 2500)) * time.Millisecond)
	default:
		s.send(p)
	}
}

// verify compares the reported results with the history of the executors.
func (s *requestScenario) verify() error {
	runs := map[model.RequestID]int{}
	for i, h := range s.harness.executorHistories() {
		for _, r := range h.Runs {
			runs[r.Request]++
			if h.LeftMS > 0 && r.StartMS > h.LeftMS+maxStartAfterNotice.Milliseconds() {
				return fmt.Errorf("%s started %d ms after the leaving notice", r.Request, r.StartMS-h.LeftMS)
			}
		}
		if e := s.harness.execs[i]; h.PeakInUse > executorSlots || e.PeakCalls() > executorSlots || e.PeakConnections() > executorSlots+1 {
			return fmt.Errorf("%d slots, %d calls and %d connections in use", h.PeakInUse, e.PeakCalls(), e.PeakConnections())
		}
	}
	for id, count := range runs {
		if count > 1 && !s.repeatable[id] {
			return fmt.Errorf("%s ran %d times", id, count)
		}
	}
	for range s.sentCount {
		r := <-s.results
		_, ticketErr := model.ParseTicket(string(r.id))
		switch {
		case r.outcome == failure.NotRun && ticketErr == nil && runs[r.id] > 0:
			return fmt.Errorf("%s ran but was reported as not run: %s", r.id, r.reason)
		case r.outcome == failure.Run && runs[r.id] == 0:
			return fmt.Errorf("%s was reported as run but did not run", r.id)
		case r.outcome == failure.Run && r.reason == 0 && r.body != "s:"+string(r.id):
			return fmt.Errorf("%s got the response %q", r.id, r.body)
		}
	}
	return nil
}

// TestTruthfulOutcomes guards against a second run of a non-repeatable request, a wrong reported outcome, a response
// that reaches the wrong caller, more calls to an executor than it has slots, and new requests on a leaving executor.
// It combines executor faults, store faults, unreachable peers and changes of the epoch at random.
func TestTruthfulOutcomes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		anyNumber := rapid.IntRange(0, 1<<16)
		steps := rapid.SliceOfN(rapid.SliceOfN(anyNumber, choicesPerStep, choicesPerStep), 10, 60).Draw(r, "steps")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 3, 15*time.Millisecond)
			defer h.close()
			s := &requestScenario{harness: h, tickets: h.issueTickets(6), repeatable: map[model.RequestID]bool{}, results: make(chan result, len(steps))}
			for _, step := range steps {
				s.step((*choices)(&step))
			}
			for _, e := range h.execs {
				_ = e.SetFaults(context.Background(), executor.Faults{})
			}
			time.Sleep(time.Minute)
			violation = s.verify()
		})
		if violation != nil {
			r.Fatal(violation)
		}
	})
}

// TestStoreOutageNeedsAnotherVM guards against a request that is sent to an executor although its intent could be
// recorded neither in the store nor on another VM.
func TestStoreOutageNeedsAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, time.Millisecond)
		defer h.close()
		tickets := h.issueTickets(2)
		h.withFake(func(_ *kernel.Context, f *fakeService) { f.storeMode, f.peersUnreachable = storeDown, true })
		r := h.send(&tickets[0], "", false, time.Second)
		g.Expect(r.outcome).To(gomega.Equal(failure.NotRun))
		g.Expect(r.reason).To(gomega.Equal(failure.IntentNotRecorded))
		g.Expect(h.executorHistories()[0].Runs).To(gomega.BeEmpty())
		h.withFake(func(_ *kernel.Context, f *fakeService) { f.peersUnreachable = false })
		g.Expect(h.send(&tickets[1], "", false, time.Second).outcome).To(gomega.Equal(failure.Run))
	})
}

// TestDrainCutsNothing guards against a graceful shutdown that interrupts requests in progress or accepts new ones.
func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 2, 500*time.Millisecond)
		tickets := h.issueTickets(13)
		results := make(chan result, len(tickets))
		for i := range 12 {
			go func() { results <- h.send(&tickets[i], "", i%2 == 0, 5*time.Second) }()
		}
		time.Sleep(100 * time.Millisecond)
		h.stop()
		time.Sleep(100 * time.Millisecond)
		late := h.send(&tickets[12], "", false, time.Second)
		g.Expect(late.outcome).To(gomega.Equal(failure.NotRun))
		g.Expect(late.reason).To(gomega.Equal(failure.Draining))
		for range 12 {
			g.Expect((<-results).outcome).To(gomega.Equal(failure.Run))
		}
		g.Expect(<-h.runResult).To(gomega.Succeed())
	})
}

// TestBurstOfCrossedAnswers guards against a response that reaches the wrong caller, and against more calls to an
// executor than it has slots, when many requests arrive at once and the executor swaps responses.
func TestBurstOfCrossedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, 10*time.Millisecond)
		defer h.close()
		g.Expect(h.execs[0].SetFaults(context.Background(), executor.Faults{SwapAnswers: 6})).To(gomega.Succeed())
		tickets := h.issueTickets(30)
		results := make(chan result, len(tickets))
		for i := range tickets {
			go func() { results <- h.send(&tickets[i], "", false, 5*time.Second) }()
		}
		for range tickets {
			r := <-results
			g.Expect(r.outcome).To(gomega.Equal(failure.Run))
			g.Expect(r.body).To(gomega.Equal("s:" + string(r.id)))
		}
		g.Expect(h.execs[0].PeakCalls()).To(gomega.BeEquivalentTo(executorSlots))
		g.Expect(h.execs[0].PeakConnections()).To(gomega.BeNumerically("<=", executorSlots+1))
	})
}

// TestPartialLedgerGivesNoSnapshot guards against a snapshot by a holder that could not read the log. The snapshot
// would replace the log with an incomplete state, and the record of which requests ran would be lost.
func TestPartialLedgerGivesNoSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, h := gomega.NewWithT(t), newHarness(t, 1, time.Millisecond)
		defer h.close()
		g.Expect(h.send(&h.issueTickets(1)[0], "", false, time.Second).outcome).To(gomega.Equal(failure.Run))
		snapshot := func() error {
			_, err := h.kernel.Call(context.Background(), names.Dispatch, message.SnapshotGet{Epoch: h.epoch})
			return err
		}
		g.Expect(snapshot()).To(gomega.Succeed())
		h.takeOver(false)
		g.Expect(snapshot()).NotTo(gomega.Succeed())
	})
}
