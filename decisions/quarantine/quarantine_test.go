package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/quarantine"
)

var start = time.Unix(1000, 0)

func job(i int) model.JobID { return model.JobID(fmt.Sprint("j", i)) }

// newQuarantined returns a tracker with the quarantined worker "w" and the time at which its probe is due.
func newQuarantined() (*quarantine.Tracker, time.Time) {
	q := quarantine.New()
	for i := range quarantine.FailureThreshold {
		q.RecordFailure("w", job(i), start)
	}
	return q, start.Add(quarantine.InitialProbeDelay)
}

// TestWorkerThatFailsEveryJobIsProbedOnce guards against a worker on which all tasks fail and that keeps receiving
// jobs.
func TestWorkerThatFailsEveryJobIsProbedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	q, due := newQuarantined()
	g.Expect(q.Usable("w", start)).To(gomega.BeFalse())
	next, ok := q.NextProbe(start)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next).To(gomega.Equal(due))
	g.Expect(q.Usable("w", due)).To(gomega.BeTrue())
	g.Expect(q.TryPlace("w", job(7), due)).To(gomega.BeTrue())
	g.Expect(q.Usable("w", due)).To(gomega.BeFalse())
	g.Expect(q.TryPlace("w", job(8), due)).To(gomega.BeFalse())
	g.Expect(q.RecordFailure("w", job(7), due)).To(gomega.BeTrue())
	g.Expect(q.Usable("w", due.Add(2*quarantine.InitialProbeDelay-1))).To(gomega.BeFalse())
	g.Expect(q.Usable("w", due.Add(2*quarantine.InitialProbeDelay))).To(gomega.BeTrue())
}

// TestSuccessLiftsQuarantine guards against a repaired worker that stays quarantined after its probe has succeeded.
func TestSuccessLiftsQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	q, due := newQuarantined()
	q.TryPlace("w", job(7), due)
	g.Expect(q.RecordSuccess("w")).To(gomega.BeTrue())
	g.Expect(q.Usable("w", due)).To(gomega.BeTrue())
	q.RecordFailure("w", job(8), due)
	g.Expect(q.Usable("w", due)).To(gomega.BeTrue())
}

// TestCancelledProbeIsRepeated guards against a quarantine that never ends because its probe ended without a result.
func TestCancelledProbeIsRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	q, due := newQuarantined()
	q.TryPlace("w", job(7), due)
	g.Expect(q.RecordEnd(job(7), true)).To(gomega.BeTrue())
	g.Expect(q.Usable("w", due)).To(gomega.BeTrue())
}

// TestOneJobDoesNotQuarantine guards against workers that are quarantined because of jobs that fail on every worker.
func TestOneJobDoesNotQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	q := quarantine.New()
	for range 10 {
		q.RecordFailure("w", job(0), start)
	}
	g.Expect(q.Usable("w", start)).To(gomega.BeTrue())
	// Three jobs that fail on every worker quarantine none.
	workers := []model.WorkerID{"a", "b", "c", "d"}
	for i := range 3 {
		for _, w := range workers {
			q.RecordFailure(w, job(10+i), start)
		}
	}
	for _, w := range workers {
		g.Expect(q.Usable(w, start)).To(gomega.BeTrue(), string(w))
	}
}
