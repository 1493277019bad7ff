package demo

import (
	"context"
	"io"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/embedded"
	"github.com/verbenaflow/verbenaflow/node/logging"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// TestSteps guards against a step of the demo that fails or sees a broken promise on the default cluster.
func TestSteps(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(logging.Setup(io.Discard, "test", "test", 0)).To(gomega.Succeed())
	c, err := embedded.Start(embedded.Default())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	steps := Run(context.Background(), c)
	g.Expect(c.Stop()).To(gomega.Succeed())
	g.Expect(steps).NotTo(gomega.BeEmpty())
	for _, s := range steps {
		g.Expect(s.Result).To(gomega.Equal(OK), "%s: %s", s.Name, s.Evidence)
	}
}

// TestEvidence guards against a partial gang, a falling epoch or a second run that the demo does not report.
func TestEvidence(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := func(index int, state model.TaskState, epoch uint64) worker.Entry {
		return worker.Entry{Task: model.TaskID{Job: "j", Index: index, Attempt: 1}, State: state, Epoch: model.Epoch{Store: epoch}}
	}
	held, ran, done := model.TaskHeld, model.TaskRunning, model.TaskSucceeded
	first := worker.History{Entries: []worker.Entry{entry(0, held, 1), entry(0, ran, 1)}}
	whole := func(second ...worker.Entry) bool {
		return attempts([]worker.History{first, {Entries: second}}, "j")[1].whole(2)
	}
	g.Expect(whole(entry(1, held, 1), entry(1, ran, 1))).To(gomega.BeTrue())
	g.Expect(whole(entry(1, held, 1), entry(1, ran, 1), entry(1, done, 1))).To(gomega.BeTrue())
	g.Expect(whole(entry(1, held, 1))).To(gomega.BeFalse(), "one task ran alone")
	g.Expect(whole(entry(1, ran, 1), entry(1, model.TaskStopped, 1))).To(gomega.BeFalse(), "one task went on alone")
	_, fell := epochsFall([]worker.History{{Entries: []worker.Entry{entry(0, held, 2), entry(0, ran, 1)}}})
	g.Expect(fell).To(gomega.BeTrue())
	run := executor.History{Runs: []executor.RunRecord{{Request: "r", Attempt: 1}}}
	g.Expect(runs([]executor.History{run, run}, "r")).To(gomega.Equal(2))
	g.Expect(BrokenPromise([]Step{report("s", 0, "", &brokenError{"P2", "partial"})})).To(gomega.BeTrue())
}
