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
	// faultRounds is the number of pairs of faults in one run of the test.
	faultRounds = 7
	// faultDuration is the time for which a pair of faults lasts. It is longer than the lease of a holder, 3 s.
	faultDuration = 4 * time.Second
	// maxPartialRun bounds the time for which a member of a gang may run without the others: the lease of a worker and
	// the timeout of one exchange.
	maxPartialRun = gang.WorkerLeaseDuration + time.Second
)

// fault is a fault that is injected and later healed. n selects the VM, worker or executor.
type fault struct {
	name   string
	inject func(f *fleet, n int)
	heal   func(f *fleet, n int)
}

func (f *fleet) vmAt(n int) *daemon { return f.vms[n%len(f.vms)] }

func setWorker(f *fleet, n int, faults worker.Faults) {
	d := domainName(n % len(vmsPerDomain))
	f.callStandin(f.workers[d][n%workersPerDomain]+worker.PathFaults, faults, nil)
}

func setExecutor(f *fleet, n int, faults executor.Faults) {
	d := domainName(n % len(vmsPerDomain))
	f.callStandin(f.executors[d][n%executorsPerDomain]+executor.PathFaults, faults, nil)
}

func setStore(faults store.Faults) func(*fleet, int) {
	return func(f *fleet, _ int) { f.callStandin(f.storeAddr+store.PathFaults, faults, nil) }
}

var faults = []fault{
	{"VM killed", func(f *fleet, n int) { f.kill(f.vmAt(n)) }, func(f *fleet, n int) { f.startDaemon(f.vmAt(n)) }},
	{
		"VM paused", func(f *fleet, n int) { f.vmAt(n).process.signal(f.t, syscall.SIGSTOP) },
		func(f *fleet, n int) { f.vmAt(n).process.signal(f.t, syscall.SIGCONT) },
	},
	{"store down", setStore(store.Faults{Outage: true}), setStore(store.Faults{})},
	{"store slow", setStore(store.Faults{CallDelayMS: 300}), setStore(store.Faults{})},
	{"store loses answers", setStore(store.Faults{LoseAnswerShare: 0.5, Seed: 1}), setStore(store.Faults{})},
	{
		"failure domain partitioned", func(f *fleet, n int) { f.partition(domainName(n % len(vmsPerDomain))) },
		func(f *fleet, n int) { f.heal(domainName(n % len(vmsPerDomain))) },
	},
	{
		"worker unreachable", func(f *fleet, n int) { setWorker(f, n, worker.Faults{RefuseConnections: true}) },
		func(f *fleet, n int) { setWorker(f, n, worker.Faults{}) },
	},
	{
		"worker loses answers", func(f *fleet, n int) { setWorker(f, n, worker.Faults{LoseAnswers: true}) },
		func(f *fleet, n int) { setWorker(f, n, worker.Faults{}) },
	},
	{
		"executor answers wrongly", func(f *fleet, n int) {
			setExecutor(f, n, executor.Faults{SwapAnswers: 5, TruncateAnswers: 5, DropAnswers: 5})
		},
		func(f *fleet, n int) { setExecutor(f, n, executor.Faults{}) },
	},
}

func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(testseed.EnvSeed), 10, 64); err == nil {
		return n
	}
	return 1
}

// TestPairsOfFaults guards against gangs that run in part or twice, requests that run twice and wrong outcomes or
// responses while two faults act at the same time (P2, P4, P5, P6). The seed determines the schedule of the faults.
func TestPairsOfFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(seed(), 0))
	f := newFleet(t)
	f.applyFirstPreset()
	for _, d := range []model.FailureDomain{"a", "b", "c"} {
		f.awaitHolder(f.daemonsIn(d)[0], nil)
	}
	l := startLoad(f.vms)
	var jobs []model.Job
	submit := func(d model.FailureDomain) {
		var job model.Job
		spec := fullGang(d, 5*time.Second)
		for _, v := range f.daemonsIn(d) {
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
	results := l.stopAndCollect()
	t.Logf("%d jobs accepted; answers: %v", len(jobs), countOutcomes(results))
	for _, job := range jobs {
		v := f.daemonsIn(job.Domain)[0]
		eventually(t, func() bool { return f.jobState(v, job)().Final() }).Should(gomega.BeTrue(), func() string { return f.describeJobs(v) })
	}
	f.checkResults(results)
	gomega.NewWithT(t).Expect(countOutcomes(results)[failure.Run]).To(gomega.BeNumerically(">", 0))
	for i := range vmsPerDomain {
		f.checkGangs(domainName(i), 2)
	}
}

// describeJobs lists the jobs of a VM's failure domain.
func (f *fleet) describeJobs(v *daemon) string {
	var jobs []model.Job
	_, err := call(v.url+"/v1/jobs", nil, &jobs)
	text := fmt.Sprintf("jobs of %s (%v):", v.domain, err)
	for _, j := range jobs {
		text += fmt.Sprintf("\n%s %s attempt %d, %s, submitted %s ago", j.ID, j.State, j.Attempt, j.Reason, time.Since(j.Submitted).Round(time.Second))
	}
	return text
}

// injectPair injects two different faults, heals them after faultDuration and waits 1 s for the system to recover.
func (f *fleet) injectPair(random *rand.Rand) {
	order := random.Perm(len(faults))[:2]
	first, second := faults[order[0]], faults[order[1]]
	n, m := random.IntN(64), random.IntN(64)
	// The first two faults kill and pause a VM; both cannot apply to the same one.
	if order[0] < 2 && order[1] < 2 && f.vmAt(n) == f.vmAt(m) {
		m++
	}
	f.t.Logf("faults: %s (%d), %s (%d)", first.name, n, second.name, m)
	first.inject(f, n)
	second.inject(f, m)
	time.Sleep(faultDuration)
	second.heal(f, m)
	first.heal(f, n)
	time.Sleep(time.Second)
}

// checkGangs guards against gangs that run in part (P2): in each attempt no member may run for longer than
// maxPartialRun while another one does not, and two attempts of a job must not overlap.
func (f *fleet) checkGangs(d model.FailureDomain, members int) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	type attempt struct {
		job model.JobID
		n   int
	}
	events := f.taskEvents(d)
	now := time.Now()
	spans := make(map[attempt][][2]time.Time)
	for _, job := range jobsOf(events) {
		for id, span := range runIntervals(events, job) {
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
			g.Expect(alone).To(gomega.BeNumerically("<=", maxPartialRun), "%v: a member ran without the others", key)
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
