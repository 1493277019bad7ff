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

// TestSteps guards against a step of the demo that fails or reports a broken promise on the default cluster.
func TestSteps(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(logging.Setup(io.Discard, "test", "test", 0)).To(gomega.Succeed())
	c, err := embedded.Start(embedded.DefaultOptions())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	steps := Run(context.Background(), c)
	g.Expect(c.Stop()).To(gomega.Succeed())
	g.Expect(steps).NotTo(gomega.BeEmpty())
	for _, s := range steps {
		g.Expect(s.Result).To(gomega.Equal(OK), "%s: %s", s.Name, s.Evidence)
	}
}

// TestEvidence guards against checks of the demo that miss a gang of which only some tasks ran, a decreasing epoch or a
// second run of a request.
func TestEvidence(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := func(index int, state model.TaskState, epoch uint64) worker.HistoryEntry {
		return worker.HistoryEntry{Task: model.TaskID{Job: "j", Index: index, Attempt: 1}, State: state, Epoch: model.Epoch{Store: epoch}}
	}
	held, ran, done := model.TaskHeld, model.TaskRunning, model.TaskSucceeded
	first := worker.History{Entries: []worker.HistoryEntry{entry(0, held, 1), entry(0, ran, 1)}}
	allOrNone := func(second ...worker.HistoryEntry) bool {
		return recordsByAttempt([]worker.History{first, {Entries: second}}, "j")[1].allOrNone(2)
	}
	g.Expect(allOrNone(entry(1, held, 1), entry(1, ran, 1))).To(gomega.BeTrue())
	g.Expect(allOrNone(entry(1, held, 1), entry(1, ran, 1), entry(1, done, 1))).To(gomega.BeTrue())
	g.Expect(allOrNone(entry(1, held, 1))).To(gomega.BeFalse(), "one task ran alone")
	g.Expect(allOrNone(entry(1, ran, 1), entry(1, model.TaskStopped, 1))).To(gomega.BeFalse(), "one task went on alone")
	_, found := findEpochDecrease([]worker.History{{Entries: []worker.HistoryEntry{entry(0, held, 2), entry(0, ran, 1)}}})
	g.Expect(found).To(gomega.BeTrue())
	run := executor.History{Runs: []executor.RunRecord{{Request: "r", Attempt: 1}}}
	g.Expect(countRuns([]executor.History{run, run}, "r")).To(gomega.Equal(2))
	g.Expect(BrokenPromise([]Step{newStep("s", 0, "", &brokenPromiseError{"P2", "partial"})})).To(gomega.BeTrue())
}
