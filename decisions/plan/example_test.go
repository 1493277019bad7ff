package plan_test

import (
	"fmt"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/plan"
)

// A preemptible job uses the whole failure domain and is preempted when an account reclaims its guaranteed worker.
func ExamplePlanner() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	p := plan.New("north")
	p.SetWorkers([]plan.Worker{{ID: "w1", Rack: "r1", Usable: true}, {ID: "w2", Rack: "r1", Usable: true}})
	p.SetPolicy(model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{
		"owner": {Weight: 1, Guarantees: []model.Guarantee{
			{Domain: "north", Cells: []model.CellCount{{Level: model.LevelWorker, Count: 1}}},
		}},
		"guest": {Weight: 1},
	}})
	p.Enqueue(plan.QueuedJob{Job: "loan", Submitted: now, Spec: model.JobSpec{
		Account: "guest", Tasks: 2, GPUsPerTask: 8, RunTime: time.Hour, Preemptible: true,
	}})
	for _, s := range p.Round(now).Starts {
		fmt.Println("start", s.Job, s.Placement)
	}

	now = now.Add(time.Minute)
	p.Enqueue(plan.QueuedJob{Job: "own", Submitted: now, Spec: model.JobSpec{
		Account: "owner", Tasks: 1, GPUsPerTask: 8, RunTime: time.Hour,
	}})
	for _, x := range p.Round(now).Preemptions {
		fmt.Println("preempt", x.Job, "for", x.ForJob, "because of", x.Reason)
		// The caller has checkpointed and stopped the job.
		p.Requeue(x.Job)
	}
	for _, s := range p.Round(now).Starts {
		fmt.Println("start", s.Job, s.Placement)
	}
	// Output:
	// start loan [{w1 255} {w2 255}]
	// preempt loan for own because of reclaim
	// start own [{w1 255}]
}
