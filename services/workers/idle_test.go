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
	// idleInterval, busyInterval and idleLostWithin are the stated times of exchanges and of the loss of an idle
	// worker; startWithin bounds the wait of a command.
	idleInterval   = 4 * time.Second
	busyInterval   = 2 * time.Second
	idleLostWithin = 7 * time.Second
	startWithin    = 10 * time.Millisecond
)

var (
	epoch = model.Epoch{Store: 1}
	task  = model.TaskID{Job: "j", Attempt: 1}
)

// fakeWorker is the client of a worker that reports what it is told to.
type fakeWorker struct {
	mu sync.Mutex
	// hangs lets that number of exchanges wait until their time limit.
	hangs  int
	report worker.Report
	begun  []time.Time
	sent   []worker.Command
}

func (f *fakeWorker) Close() {}
func (f *fakeWorker) Exchange(ctx context.Context, x worker.Exchange) (worker.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun = append(f.begun, time.Now())
	if f.hangs > 0 {
		f.hangs--
		<-ctx.Done()
		return worker.Report{}, errors.New("no answer")
	}
	f.sent = append(f.sent, x.Commands...)
	r := f.report
	f.report.Tasks = nil
	r.Accepted, r.Epoch, r.Number = true, x.Epoch, x.Seen+1
	return r, nil
}

func (f *fakeWorker) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// between returns the largest time between two exchanges from now on.
func (f *fakeWorker) between(watch time.Duration) (largest time.Duration) {
	from := time.Now()
	time.Sleep(watch)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := 1; i < len(f.begun); i++ {
		if f.begun[i-1].After(from) {
			largest = max(largest, f.begun[i].Sub(f.begun[i-1]))
		}
	}
	return largest
}

// scheduler publishes the authority and the worker, and keeps the time of the loss.
type scheduler struct {
	mu   sync.Mutex
	lost time.Time
}

func (s *scheduler) Start(c *kernel.Context) error {
	c.Publish(message.MembersChanged{Workers: []model.VM{{ID: "w"}}})
	c.Publish(message.AuthorityChanged{Holder: true, Epoch: epoch})
	return c.Send(names.Workers, message.WorkerLeases{Epoch: epoch, All: true})
}
func (s *scheduler) Drain(c *kernel.Context) { c.Drained() }
func (s *scheduler) Handle(_ *kernel.Context, e kernel.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := e.Body.(message.WorkerLost); ok && s.lost.IsZero() {
		s.lost = time.Now()
	}
}

func (s *scheduler) lostAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// withWorker runs f with a service whose worker has been idle for some time.
func withWorker(t *testing.T, f func(g *gomega.WithT, k *kernel.Kernel, w *fakeWorker, s *scheduler)) {
	synctest.Test(t, func(t *testing.T) {
		w, s := &fakeWorker{}, &scheduler{}
		k, err := kernel.New(nil,
			workers.New("v", "d", func(string) worker.Client { return w }, metrics.New()).Spec(),
			kernel.Spec{Name: names.Scheduler, Service: s, After: []kernel.Name{names.Workers}})
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

func command(op message.TaskOp) message.WorkerCommand {
	return message.WorkerCommand{Worker: "w", Epoch: epoch, Commands: []message.TaskCommand{{Op: op, Task: task}}}
}

// TestIdleInterval guards against traffic with workers that have no task, against a command that waits for the next
// exchange with one, and against the lease of a task that is renewed at the interval of an idle worker, because it
// was not reported yet.
func TestIdleInterval(t *testing.T) {
	withWorker(t, func(g *gomega.WithT, k *kernel.Kernel, w *fakeWorker, _ *scheduler) {
		g.Expect(w.between(20 * time.Second)).To(gomega.Equal(idleInterval))
		g.Expect(k.Send(names.Workers, command(message.TaskHold))).To(gomega.Succeed())
		time.Sleep(startWithin)
		w.set(func() { g.Expect(w.sent).To(gomega.HaveLen(1)) })
		g.Expect(w.between(20*time.Second)).To(gomega.Equal(busyInterval), "held, not reported")
		w.set(func() { w.report.Tasks = []model.TaskStatus{{Task: task, State: model.TaskRunning}} })
		g.Expect(w.between(20*time.Second)).To(gomega.Equal(busyInterval), "running")
		w.set(func() { w.report.Tasks = []model.TaskStatus{{Task: task, State: model.TaskSucceeded}} })
		time.Sleep(busyInterval)
		g.Expect(w.between(20*time.Second)).To(gomega.Equal(idleInterval), "ended")
		w.set(func() { w.report.Tasks = []model.TaskStatus{{Task: model.TaskID{Job: "k"}, State: model.TaskHeld}} })
		time.Sleep(idleInterval)
		g.Expect(w.between(20*time.Second)).To(gomega.Equal(busyInterval), "started by an earlier holder")
	})
}

// TestIdleWorkerLost guards against an idle worker whose loss is noticed late, and against one that counts as lost
// after a single failure.
func TestIdleWorkerLost(t *testing.T) {
	withWorker(t, func(g *gomega.WithT, _ *kernel.Kernel, w *fakeWorker, s *scheduler) {
		w.set(func() { w.hangs = 1 })
		time.Sleep(20 * time.Second)
		g.Expect(s.lostAt().IsZero()).To(gomega.BeTrue(), "lost after one failure")
		w.set(func() { w.hangs = 1000 })
		failed := time.Now()
		time.Sleep(20 * time.Second)
		g.Expect(s.lostAt().IsZero()).To(gomega.BeFalse())
		g.Expect(s.lostAt().Sub(failed)).To(gomega.BeNumerically("<=", idleLostWithin))
	})
}
