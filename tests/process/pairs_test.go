package process

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/decisions/gang"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/store"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

const (
	// faultRounds is the number of pairs of faults of one run.
	faultRounds = 7
	// faultTime is the time for which a pair of faults lasts. It is longer than the holder's lease of 3 s.
	faultTime = 4 * time.Second
	// partialBound is the stated bound for a member that runs without the rest: the worker lease and the
	// timeout of one exchange.
	partialBound = gang.WorkerLeaseDuration + time.Second
)

// fault is injected and later healed. The last argument chooses the VM, worker or executor.
type fault struct {
	name   string
	inject func(f *fleet, n int)
	heal   func(f *fleet, n int)
}

func (f *fleet) vm(n int) *daemon { return f.vms[n%len(f.vms)] }

func setWorker(f *fleet, n int, faults worker.Faults) {
	d := domainName(n % len(vmsPerDomain))
	f.control(f.workers[d][n%workersPerDomain]+worker.PathFaults, faults, nil)
}

func setExecutor(f *fleet, n int, faults executor.Faults) {
	d := domainName(n % len(vmsPerDomain))
	f.control(f.executors[d][n%executorsPerDomain]+executor.PathFaults, faults, nil)
}

func setStore(faults store.Faults) func(*fleet, int) {
	return func(f *fleet, _ int) { f.control(f.store+store.PathFaults, faults, nil) }
}

var faults = []fault{
	{"VM killed", func(f *fleet, n int) { f.kill(f.vm(n)) }, func(f *fleet, n int) { f.start(f.vm(n)) }},
	{
		"VM paused", func(f *fleet, n int) { f.vm(n).process.signal(f.t, syscall.SIGSTOP) },
		func(f *fleet, n int) { f.vm(n).process.signal(f.t, syscall.SIGCONT) },
	},
	{"store down", setStore(store.Faults{Outage: true}), setStore(store.Faults{})},
	{"store slow", setStore(store.Faults{SlowMS: 300}), setStore(store.Faults{})},
	{"store loses answers", setStore(store.Faults{LoseShare: 0.5, Seed: 1}), setStore(store.Faults{})},
	{
		"failure domain cut", func(f *fleet, n int) { f.cut(domainName(n % len(vmsPerDomain))) },
		func(f *fleet, n int) { f.heal(domainName(n % len(vmsPerDomain))) },
	},
	{
		"worker unreachable", func(f *fleet, n int) { setWorker(f, n, worker.Faults{RefuseContact: true}) },
		func(f *fleet, n int) { setWorker(f, n, worker.Faults{}) },
	},
	{
		"worker loses answers", func(f *fleet, n int) { setWorker(f, n, worker.Faults{LoseAnswers: true}) },
		func(f *fleet, n int) { setWorker(f, n, worker.Faults{}) },
	},
	{
		"executor answers wrongly", func(f *fleet, n int) { setExecutor(f, n, executor.Faults{Cross: 5, Truncate: 5, Drop: 5}) },
		func(f *fleet, n int) { setExecutor(f, n, executor.Faults{}) },
	},
}

func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(testseed.EnvSeed), 10, 64); err == nil {
		return n
	}
	return 1
}

// TestPairsOfFaults guards P2, P4, P5 and P6 against two faults at once, in a schedule that the seed fixes.
func TestPairsOfFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(), 0))
	f := newFleet(t)
	f.prepare()
	for _, d := range []model.FailureDomain{"a", "b", "c"} {
		f.waitHolder(f.in(d)[0], nil)
	}
	l := startLoad(f.vms)
	var jobs []model.Job
	submit := func(d model.FailureDomain) {
		var job model.Job
		spec := fullGang(d, 5*time.Second)
		for _, v := range f.in(d) {
			if post(v.url+"/v1/jobs", spec, &job) == "" {
				jobs = append(jobs, job)
				return
			}
		}
	}
	for range faultRounds {
		for i := range vmsPerDomain {
			submit(domainName(i))
		}
		time.Sleep(time.Second)
		f.injectPair(random)
	}
	answers := l.end()
	t.Logf("%d jobs accepted; answers: %v", len(jobs), tally(answers))
	for _, job := range jobs {
		v := f.in(job.Domain)[0]
		eventually(t, func() bool { return f.state(v, job)().Final() }).Should(gomega.BeTrue(), func() string { return f.describe(v) })
	}
	f.checkAnswers(answers)
	gomega.NewWithT(t).Expect(tally(answers)[failure.Run]).To(gomega.BeNumerically(">", 0))
	for i := range vmsPerDomain {
		f.checkGangs(domainName(i), 2)
	}
}

// describe lists the jobs of a VM's failure domain.
func (f *fleet) describe(v *daemon) string {
	var jobs []model.Job
	_, err := call(v.url+"/v1/jobs", nil, &jobs)
	text := fmt.Sprintf("jobs of %s (%v):", v.domain, err)
	for _, j := range jobs {
		text += fmt.Sprintf("\n%s %s attempt %d, %s, submitted %s ago", j.ID, j.State, j.Attempt, j.Reason, time.Since(j.Submitted).Round(time.Second))
	}
	return text
}

// injectPair injects two different faults, heals them and lets the system recover.
func (f *fleet) injectPair(random *rand.Rand) {
	order := random.Perm(len(faults))[:2]
	first, second := faults[order[0]], faults[order[1]]
	n, m := random.IntN(64), random.IntN(64)
	// The same VM cannot be both killed and paused.
	if order[0] < 2 && order[1] < 2 && f.vm(n) == f.vm(m) {
		m++
	}
	f.t.Logf("faults: %s (%d), %s (%d)", first.name, n, second.name, m)
	first.inject(f, n)
	second.inject(f, m)
	time.Sleep(faultTime)
	second.heal(f, m)
	first.heal(f, n)
	time.Sleep(time.Second)
}

// checkGangs guards P2: in each attempt of a gang no member runs for longer than partialBound while another
// one does not, and two attempts of a job never run at once.
func (f *fleet) checkGangs(d model.FailureDomain, members int) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	type attempt struct {
		job model.JobID
		n   int
	}
	events := f.tasks(d)
	now := time.Now()
	spans := make(map[attempt][][2]time.Time)
	for _, job := range jobsOf(events) {
		for id, span := range running(events, job) {
			if span[0].IsZero() {
				continue
			}
			if span[1].IsZero() {
				span[1] = now
			}
			key := attempt{job, id.Attempt}
			spans[key] = append(spans[key], span)
		}
	}
	for key, s := range spans {
		first, last := s[0], s[0]
		for _, span := range s {
			if span[0].After(last[0]) {
				last[0] = span[0]
			}
			if span[1].Before(first[1]) {
				first[1] = span[1]
			}
		}
		for _, span := range s {
			alone := span[1].Sub(span[0])
			if len(s) == members {
				alone = max(last[0].Sub(span[0]), span[1].Sub(first[1]))
			}
			g.Expect(alone).To(gomega.BeNumerically("<=", partialBound), "%v: a member ran without the rest", key)
		}
		if next, ok := spans[attempt{key.job, key.n + 1}]; ok {
			for _, a := range s {
				for _, b := range next {
					g.Expect(b[0]).To(gomega.BeTemporally(">=", a[1]), "%v overlaps its next attempt", key)
				}
			}
		}
	}
}

func jobsOf(events []taskEvent) []model.JobID {
	seen := make(map[model.JobID]bool)
	var out []model.JobID
	for _, e := range events {
		if !seen[e.Task.Job] {
			seen[e.Task.Job] = true
			out = append(out, e.Task.Job)
		}
	}
	return out
}
