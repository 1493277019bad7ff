package domains

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/testseed"
)

func init() { testseed.SetFlags("2000") }

var now = time.Unix(10000, 0)

func load(d string, region string, free, queued int) model.DomainLoad {
	return model.DomainLoad{
		Domain: model.FailureDomain(d), Region: model.Region(region), Starts: true, GPUs: 400, FreeGPUs: free,
		FreeWorkers: free / model.GPUsPerWorker, QueuedGPUs: queued, Heard: now,
	}
}

func smallJob() model.JobSpec { return model.JobSpec{Account: "acme", Tasks: 1, GPUsPerTask: 1} }

func queuedJobs(n int, since time.Duration) []QueuedJob {
	var out []QueuedJob
	for i := range n {
		at := now.Add(-since)
		out = append(out, QueuedJob{Job: model.JobID(fmt.Sprintf("j%02d", i)), Spec: smallJob(), Submitted: at, QueuedSince: at})
	}
	return out
}

// TestChooseOrder guards against submissions that leave their failure domain or region without need, and against those
// that are kept in a failure domain that cannot start them.
func TestChooseOrder(t *testing.T) {
	origin := Origin{Domain: "a", Region: "r1"}
	choose := func(s model.JobSpec, loads ...model.DomainLoad) []model.FailureDomain {
		return Choose(loads, s, origin, now)
	}
	g := gomega.NewWithT(t)
	available := []model.DomainLoad{load("c", "r2", 400, 0), load("b", "r1", 390, 0), load("a", "r1", 20, 0)}
	g.Expect(choose(smallJob(), available...)).To(gomega.Equal([]model.FailureDomain{"a", "b", "c"}))
	busy := slices.Clone(available)
	busy[2] = load("a", "r1", 0, 200)
	g.Expect(choose(smallJob(), busy...)).To(gomega.Equal([]model.FailureDomain{"b", "c", "a"}))
	busy[2].Out, busy[2].FreeGPUs, busy[2].QueuedGPUs = true, 400, 0
	g.Expect(choose(smallJob(), busy...)).To(gomega.Equal([]model.FailureDomain{"b", "c", "a"}))
	busy[1].Heard = now.Add(-11 * time.Second)
	busy[0].Starts = false
	g.Expect(choose(smallJob(), busy...)).To(gomega.Equal([]model.FailureDomain{"a"}), "stale load and stopped failure domain")
	g.Expect(choose(smallJob())).To(gomega.Equal([]model.FailureDomain{"a"}), "no loads")

	large := model.JobSpec{Tasks: 16, GPUsPerTask: 8}
	fragmented := load("a", "r1", 160, 0)
	fragmented.FreeWorkers = 3
	g.Expect(choose(large, fragmented, load("b", "r1", 160, 0))[0]).To(gomega.Equal(model.FailureDomain("b")), "not enough free whole workers in a")
	large.Tasks = 51
	g.Expect(choose(large, available...)).To(gomega.Equal([]model.FailureDomain{"a"}), "too large for the others")
	large.Domain = "c"
	g.Expect(choose(large, available...)).To(gomega.Equal([]model.FailureDomain{"c"}))
}

// TestTransferTargets guards against jobs that stay in a failure domain that is out of service, and against transfers
// without a gain.
func TestTransferTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	out, others := load("a", "r1", 0, 10), []model.DomainLoad{load("b", "r2", 100, 0), load("c", "r1", 100, 0)}
	out.Out = true
	g.Expect(SelectTransfers(out, others, queuedJobs(2, 0), 0, now)).To(gomega.Equal([]Transfer{{"j00", "c"}, {"j01", "c"}}))
	g.Expect(SelectTransfers(load("a", "r1", 0, 100), others, queuedJobs(1, time.Minute), 0, now)).To(gomega.HaveLen(1))
	g.Expect(SelectTransfers(load("a", "r1", 0, 100), others, queuedJobs(1, time.Second), 0, now)).To(gomega.BeEmpty(), "queued for too short a time")
	busy := []model.DomainLoad{load("b", "r2", 0, 95), load("c", "r1", 0, 95)}
	g.Expect(SelectTransfers(load("a", "r1", 0, 100), busy, queuedJobs(1, time.Minute), 0, now)).To(gomega.BeEmpty(), "no gain")

	w := queuedJobs(4, time.Minute)
	w[0].Spec.Domain = "a"
	w[1].Spec.Key = "k"
	w[2].Progress = 0.5
	w[3].Spec.Urgent, w[3].Spec.RunTime = true, 10000*time.Hour
	g.Expect(SelectTransfers(out, others, w, 0, now)).To(gomega.Equal([]Transfer{{"j03", "c"}, {"j01", "c"}}))
	w = queuedJobs(4, time.Minute)
	w[3].Spec.Urgent = true
	g.Expect(SelectTransfers(out, others, w, 0, now)[0].Job).To(gomega.Equal(model.JobID("j03")), "urgent first")

	gang := queuedJobs(1, time.Minute)
	gang[0].Spec = model.JobSpec{Tasks: 8, GPUsPerTask: 8}
	shorter := []model.DomainLoad{load("c", "r1", 0, 10)}
	g.Expect(SelectTransfers(load("a", "r1", 0, 150), shorter, gang, 0, now)).To(gomega.BeEmpty(), "would wait for whole workers there too")
	g.Expect(SelectTransfers(load("a", "r1", 0, 250), shorter, gang, 0, now)).To(gomega.HaveLen(1))
}

// TestTransferBounds guards against more transfers than the limits allow, jobs that move back and forth, unusable
// targets, and a herd effect: all jobs are sent to one target while another one is equally good.
func TestTransferBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := DefaultRules()
		var loads []model.DomainLoad
		for i := range rapid.IntRange(1, 5).Draw(t, "domains") {
			l := load(fmt.Sprint("d", i), "r1", rapid.IntRange(0, 200).Draw(t, "free"), rapid.IntRange(0, 600).Draw(t, "queued"))
			l.Out, l.Starts = rapid.IntRange(0, 5).Draw(t, "out") == 0, rapid.IntRange(0, 5).Draw(t, "starts") > 0
			l.Heard = now.Add(-time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second)
			loads = append(loads, l)
		}
		queued := queuedJobs(rapid.IntRange(0, 30).Draw(t, "waiting"), time.Minute)
		for i := range queued {
			w := &queued[i]
			w.Transfers = rapid.IntRange(0, 4).Draw(t, "transfers")
			w.LastTransfer = now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute)
		}
		inFlight := rapid.IntRange(0, 20).Draw(t, "in flight")
		out := SelectTransfers(loads[0], loads, queued, inFlight, now)
		if len(out) > r.MaxPerRound || len(out) > 0 && len(out)+inFlight > r.MaxInFlight {
			t.Fatalf("%d transfers with %d in flight", len(out), inFlight)
		}
		moved := map[model.JobID]bool{}
		for _, transfer := range out {
			w := queued[slices.IndexFunc(queued, func(w QueuedJob) bool { return w.Job == transfer.Job })]
			l := loads[slices.IndexFunc(loads, func(l model.DomainLoad) bool { return l.Domain == transfer.Target })]
			if moved[transfer.Job] || w.Transfers >= 3 || w.Transfers > 0 && now.Sub(w.LastTransfer) < 5*time.Minute {
				t.Fatalf("%v is transferred again: %+v", transfer, w)
			}
			if l.Domain == "d0" || l.Out || !l.Starts || now.Sub(l.Heard) > 10*time.Second {
				t.Fatalf("%v: unusable target %+v", transfer, l)
			}
			moved[transfer.Job] = true
		}
	})
	g := gomega.NewWithT(t)
	own, perTarget := load("a", "r1", 0, 400), map[model.FailureDomain]int{}
	for _, transfer := range SelectTransfers(own, []model.DomainLoad{load("b", "r1", 4, 0), load("c", "r1", 4, 0)}, queuedJobs(8, time.Minute), 0, now) {
		perTarget[transfer.Target]++
	}
	g.Expect(perTarget).To(gomega.Equal(map[model.FailureDomain]int{"b": 4, "c": 4}))
}
