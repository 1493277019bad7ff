package workers_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/workers"
)

const (
	// idleInterval and busyInterval are the specified intervals of exchanges. idleLostWithin is the specified bound for
	// the detection of a lost idle worker. commandWithin bounds the delay of a command.
	idleInterval   = 4 * time.Second
	busyInterval   = 2 * time.Second
	idleLostWithin = 7 * time.Second
	commandWithin  = 10 * time.Millisecond
)

var (
	epoch = model.Epoch{Store: 1}
	task  = model.TaskID{Job: "j", Attempt: 1}
)

// fakeWorker is the client of a worker that returns a report set by the test.
type fakeWorker struct {
	mu sync.Mutex
	// hangingExchanges is the number of upcoming exchanges that time out.
	hangingExchanges int
	report           worker.Report
	startTimes       []time.Time
	sent             []worker.Command
}

func (f *fakeWorker) Close() {}
func (f *fakeWorker) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startTimes = append(f.startTimes, time.Now())
	if f.hangingExchanges > 0 {
		f.hangingExchanges--
		<-ctx.Done()
		return worker.Report{}, errors.New("no answer")
	}
	f.sent = append(f.sent, x.Commands...)
	r := f.report
	f.report.Tasks = nil
	r.Accepted, r.Epoch, r.Number = true, x.Epoch, x.SeenReport+1
	return r, nil
}

func (f *fakeWorker) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// maxInterval waits for a period and returns the longest interval between two exchanges in it.
func (f *fakeWorker) maxInterval(period time.Duration) (longest time.Duration) {
	from := time.Now()
	time.Sleep(period)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 1; i < len(f.startTimes); i++ {
		if f.startTimes[i-1].After(from) {
			longest = max(longest, f.startTimes[i].Sub(f.startTimes[i-1]))
		}
	}
	return longest
}

// fakeScheduler publishes the authority and the worker, and records when the worker was reported lost.
type fakeScheduler struct {
	mu   sync.Mutex
	lost time.Time
}

func (s *fakeScheduler) Start(c *kernel.Context) error {
	c.Publish(message.MembersChanged{Workers: []model.VM{{ID: "w"}}})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: epoch})
	return c.Send(names.Workers, message.WorkerLeases{Epoch: epoch, All: true})
}
func (s *fakeScheduler) Drain(c *kernel.Context) { c.CompleteDrain() }
func (s *fakeScheduler) Handle(_ *kernel.Context, e kernel.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := e.Body.(message.WorkerLost); ok && s.lost.IsZero() {
		s.lost = time.Now()
	}
}

func (s *fakeScheduler) lostAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// withIdleWorker runs f with a service whose worker has been idle for three idle intervals.
func withIdleWorker(t *testing.T, f func(g *gomega.WithT, k *kernel.Kernel, w *fakeWorker, s *fakeScheduler)) {
	synctest.Test(t, func(t *testing.T) {
		w, s := &fakeWorker{}, &fakeScheduler{}
		k, err := kernel.New(nil,
			workers.New("v", "d", func(string) worker.Client { return w }, metrics.New()).Spec(),
			kernel.Spec{Name: names.Scheduler, Service: s, DependsOn: []kernel.Name{names.Workers}})
		if err != nil {
			t.Fatal(err)
		}
		stop, err := k.Start()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stop(nil) }()
		time.Sleep(3 * idleInterval)
		f(gomega.NewWithT(t), k, w, s)
	})
}

func newCommand(op message.TaskOp) message.WorkerCommand {
	return message.WorkerCommand{Worker: "w", Epoch: epoch, Commands: []message.TaskCommand{{Op: op, Task: task}}}
}

// TestIdleInterval guards against exchanges with workers without tasks that are as frequent as with others, against a
// command to an idle worker that waits for the next exchange, and against a lease that is renewed only at the idle
// interval although a task was started, because the task has not been reported yet.
func TestIdleInterval(t *testing.T) {
	withIdleWorker(t, func(g *gomega.WithT, k *kernel.Kernel, w *fakeWorker, _ *fakeScheduler) {
		g.Expect(w.maxInterval(20 * time.Second)).To(gomega.Equal(idleInterval))
		g.Expect(k.Send(names.Workers, newCommand(message.TaskHold))).To(gomega.Succeed())
		time.Sleep(commandWithin)
		w.update(func() { g.Expect(w.sent).To(gomega.HaveLen(1)) })
		g.Expect(w.maxInterval(20*time.Second)).To(gomega.Equal(busyInterval), "held, not reported")
		w.update(func() { w.report.Tasks = []model.TaskStatus{{Task: task, State: model.TaskRunning}} })
		g.Expect(w.maxInterval(20*time.Second)).To(gomega.Equal(busyInterval), "running")
		w.update(func() { w.report.Tasks = []model.TaskStatus{{Task: task, State: model.TaskSucceeded}} })
		time.Sleep(busyInterval)
		g.Expect(w.maxInterval(20*time.Second)).To(gomega.Equal(idleInterval), "ended")
		w.update(func() { w.report.Tasks = []model.TaskStatus{{Task: model.TaskID{Job: "k"}, State: model.TaskHeld}} })
		time.Sleep(idleInterval)
		g.Expect(w.maxInterval(20*time.Second)).To(gomega.Equal(busyInterval), "started by an earlier holder")
	})
}

// TestIdleWorkerLost guards against an idle worker whose loss is detected too late, and against one that counts as lost
// after a single failed exchange.
func TestIdleWorkerLost(t *testing.T) {
	withIdleWorker(t, func(g *gomega.WithT, _ *kernel.Kernel, w *fakeWorker, s *fakeScheduler) {
		w.update(func() { w.hangingExchanges = 1 })
		time.Sleep(20 * time.Second)
		g.Expect(s.lostAt().IsZero()).To(gomega.BeTrue(), "lost after one failure")
		w.update(func() { w.hangingExchanges = 1000 })
		failed := time.Now()
		time.Sleep(20 * time.Second)
		g.Expect(s.lostAt().IsZero()).To(gomega.BeFalse())
		g.Expect(s.lostAt().Sub(failed)).To(gomega.BeNumerically("<=", idleLostWithin))
	})
}
