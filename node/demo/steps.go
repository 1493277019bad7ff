package demo

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/client"
	"github.com/verbenaflow/verbenaflow/platform/worker"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
	"github.com/verbenaflow/verbenaflow/standins/store"
	standin "github.com/verbenaflow/verbenaflow/standins/worker"
)

// The client accounts of the demo.
const (
	guaranteed model.AccountID = "vestfjord"
	borrower   model.AccountID = "dvorak"
)

const (
	// longRunTime is the run time of a job that must still be running at the end of its step.
	longRunTime = 60 * time.Second
	// shortRunTime is the run time of a job whose end a step waits for.
	shortRunTime = 300 * time.Millisecond
	// outOfServiceWatch is the time for which a step checks that a failure domain out of service starts no task.
	outOfServiceWatch = 1500 * time.Millisecond
	// maxReclaimTime is the time within which an account must get its guaranteed accelerators back.
	maxReclaimTime = 5 * time.Second
)

// configure stores a preset with a guarantee and checks that every entry VM applies it (promise P9).
func (d *demo) configure(ctx context.Context) (string, error) {
	if err := d.standins.Post(ctx, store.PathFaults, store.Faults{RecordWrites: true}, &struct{}{}); err != nil {
		return "", err
	}
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{
		guaranteed: {Weight: 1, Guarantees: []model.Guarantee{
			{Domain: "a", Cells: []model.CellCount{{Level: model.LevelWorker, Count: 2}}},
		}},
		borrower: {Weight: 1},
	}}
	version, err := d.changeConfig(ctx, message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}})
	if err != nil {
		return "", err
	}
	if err := d.waitForVersion(ctx, version); err != nil {
		return "", &brokenPromiseError{"P9", err.Error()}
	}
	acceptedWrites, err := d.acceptedWrites(ctx, "config")
	return fmt.Sprintf("store: %d write of the document; version %d on %d VMs", len(acceptedWrites), version, len(d.cluster.EntryVMs())), err
}

// changeConfig proposes one change of the configuration based on its current version, and returns the new version.
func (d *demo) changeConfig(ctx context.Context, ch message.ConfigChange) (uint64, error) {
	c := d.newClient()
	var current, next httpapi.ConfigResponse
	err := waitUntil(ctx, "change of the configuration", func() (string, bool) {
		err := c.Get(ctx, "/v1/config", &current)
		if err != nil && !errors.Is(err, &failure.Error{Reason: failure.ConfigUnavailable}) {
			return err.Error(), false
		}
		err = c.Post(ctx, "/v1/config", httpapi.ChangeConfigRequest{ExpectedVersion: current.Config.Version, Change: ch}, &next)
		return fmt.Sprint(err), err == nil
	})
	return next.Config.Version, err
}

// waitForVersion waits until every running entry VM applies a version of the configuration or a later one.
func (d *demo) waitForVersion(ctx context.Context, version uint64) error {
	return waitUntil(ctx, fmt.Sprintf("version %d in force", version), func() (string, bool) {
		for _, id := range d.cluster.EntryVMs() {
			if !d.cluster.Running(id) {
				continue
			}
			s, err := d.status(ctx, id)
			if err != nil || s.ConfigVersion < version {
				return fmt.Sprintf("%s has %d, %v", id, s.ConfigVersion, err), false
			}
		}
		return "", true
	})
}

func (d *demo) status(ctx context.Context, id model.VMID) (httpapi.StatusResponse, error) {
	var s httpapi.StatusResponse
	err := client.New(0, d.cluster.HTTPAddress(id)).Get(ctx, "/v1/status", &s)
	return s, err
}

// submit submits a job and waits until it is in one of the states. It returns the last known state of the job.
func (d *demo) submit(ctx context.Context, spec model.JobSpec, states ...model.JobState) (model.Job, error) {
	var j model.Job
	err := waitUntil(ctx, "job accepted", func() (string, bool) {
		err := d.newClient().Post(ctx, "/v1/jobs", spec, &j)
		return fmt.Sprint(err), err == nil
	})
	if err != nil {
		return j, err
	}
	return d.waitForJob(ctx, j.ID, states...)
}

// waitForJob waits until a job is in one of the states. It returns the last known state of the job.
func (d *demo) waitForJob(ctx context.Context, id model.JobID, states ...model.JobState) (model.Job, error) {
	var j model.Job
	err := waitUntil(ctx, fmt.Sprintf("job %s in state %v", id, states), func() (string, bool) {
		if err := d.newClient().Get(ctx, "/v1/job?id="+url.QueryEscape(string(id)), &j); err != nil {
			return err.Error(), false
		}
		for _, s := range states {
			if j.State == s {
				return "", true
			}
		}
		return string(j.State), false
	})
	return j, err
}

func (d *demo) cancel(ctx context.Context, j model.Job) error {
	var jobs []model.Job
	in := httpapi.CancelJobsRequest{Account: j.Spec.Account, Jobs: []model.JobID{j.ID}}
	return d.newClient().Post(ctx, "/v1/jobs/cancel", in, &jobs)
}

// runGang runs a job of two tasks with 8 accelerators each and checks that all or none of its tasks ran (promise P2).
func (d *demo) runGang(ctx context.Context) (string, error) {
	spec := model.JobSpec{Account: borrower, Domain: "a", Tasks: 2, GPUsPerTask: 8, RunTime: shortRunTime, Preemptible: true}
	j, err := d.submit(ctx, spec, model.JobSucceeded)
	if err != nil {
		return "", err
	}
	if len(j.Placement) != spec.Tasks {
		return "", &brokenPromiseError{"P2", fmt.Sprintf("%d of %d tasks have a place", len(j.Placement), spec.Tasks)}
	}
	seen, err := d.checkGang(ctx, j)
	return fmt.Sprintf("job ran on %s and %s; %s", j.Placement[0].Worker, j.Placement[1].Worker, seen), err
}

// sendRequest sends a request with a ticket and then another one with the same ticket. It checks the answer to the
// first (promise P4), and that the second is refused or gets the same answer and that only one run took place (promise
// P6).
func (d *demo) sendRequest(ctx context.Context) (string, error) {
	c := d.newClient()
	var tickets []string
	err := waitUntil(ctx, "ticket", func() (string, bool) {
		err := c.Post(ctx, "/v1/tickets", httpapi.IssueTicketsRequest{Account: guaranteed, Count: 1}, &tickets)
		return fmt.Sprint(err), err == nil && len(tickets) == 1
	})
	if err != nil {
		return "", err
	}
	in := httpapi.SendRequest{Ticket: tickets[0], Account: guaranteed, Service: "certificate", Payload: []byte("batch 12"), Fresh: true}
	var first, second httpapi.RequestResult
	if err := c.Post(ctx, "/v1/requests", in, &first); err != nil {
		return "", err
	}
	if string(first.Body) != "certificate:batch 12" {
		return "", &brokenPromiseError{"P4", fmt.Sprintf("answer %q", first.Body)}
	}
	in.Payload = []byte("batch 13")
	err = c.Post(ctx, "/v1/requests", in, &second)
	if err == nil && string(second.Body) != string(first.Body) {
		return "", &brokenPromiseError{"P6", fmt.Sprintf("the same ticket gave %q", second.Body)}
	}
	seen, runErr := d.checkSingleRun(ctx, first.Request)
	return fmt.Sprintf("executor answered %q; second send: %v; %s", first.Body, err, seen), runErr
}

// reclaimGuarantee fills a failure domain with a preemptible job and checks that the account with the guarantee gets
// its accelerators within maxReclaimTime (promise P1).
func (d *demo) reclaimGuarantee(ctx context.Context) (string, error) {
	borrowedJob, err := d.submit(ctx, model.JobSpec{
		Account: borrower, Domain: "a", Tasks: 4, GPUsPerTask: 8, RunTime: longRunTime, Preemptible: true,
	}, model.JobRunning)
	if err != nil {
		return "", err
	}
	begun := time.Now()
	guaranteedJob, err := d.submit(ctx, model.JobSpec{
		Account: guaranteed, Domain: "a", Tasks: 2, GPUsPerTask: 8, RunTime: shortRunTime,
	}, model.JobRunning, model.JobSucceeded)
	took := time.Since(begun)
	state, _ := d.waitForJob(ctx, borrowedJob.ID, model.JobQueued, model.JobPreempting, model.JobStarting, model.JobRunning, model.JobFailed)
	seen, gangErr := d.checkGang(ctx, guaranteedJob)
	if cancelErr := errors.CombineErrors(d.cancel(ctx, borrowedJob), d.cancel(ctx, guaranteedJob)); cancelErr != nil {
		return "", cancelErr
	}
	if err != nil || took > maxReclaimTime {
		return "", &brokenPromiseError{"P1", fmt.Sprintf("guaranteed job is %s after %s", guaranteedJob.State, took.Round(time.Millisecond))}
	}
	return fmt.Sprintf("guaranteed job ran on %v after %s; the borrower is %s; %s",
		guaranteedJob.Placement, took.Round(time.Millisecond), state.State, seen), gangErr
}

// takeOutDomain takes a failure domain out of service, checks that a job queued there does not start (promise P3), and
// checks that it runs after the domain is brought back.
func (d *demo) takeOutDomain(ctx context.Context) (string, error) {
	version, err := d.changeConfig(ctx, message.ConfigChange{TakeOut: "b"})
	if err != nil {
		return "", err
	}
	if err := d.waitForVersion(ctx, version); err != nil {
		return "", &brokenPromiseError{"P9", err.Error()}
	}
	j, err := d.submit(ctx, model.JobSpec{
		Account: borrower, Domain: "b", Tasks: 1, GPUsPerTask: 8, RunTime: shortRunTime, Preemptible: true,
	}, model.JobQueued, model.JobStarting, model.JobRunning, model.JobSucceeded)
	if err != nil {
		return "", err
	}
	time.Sleep(outOfServiceWatch)
	if j, err = d.waitForJob(ctx, j.ID, model.JobQueued, model.JobStarting, model.JobRunning, model.JobSucceeded); err != nil {
		return "", err
	}
	if j.State != model.JobQueued {
		return "", &brokenPromiseError{"P3", fmt.Sprintf("job is %s in a failure domain that is out", j.State)}
	}
	histories, err := readHistories[standin.History](ctx, d, model.RoleWorker, "b", standin.PathHistory)
	if err != nil {
		return "", err
	}
	if n := len(recordsByAttempt(histories, j.ID)); n > 0 {
		return "", &brokenPromiseError{"P3", fmt.Sprintf("workers recorded %d attempts in a failure domain that is out", n)}
	}
	if _, err := d.changeConfig(ctx, message.ConfigChange{BringIn: "b"}); err != nil {
		return "", err
	}
	if j, err = d.waitForJob(ctx, j.ID, model.JobSucceeded); err != nil {
		return "", err
	}
	seen, err := d.checkGang(ctx, j)
	if err != nil {
		return "", err
	}
	acceptedWrites, err := d.acceptedWrites(ctx, "config")
	return fmt.Sprintf("no task in %s while out; %s; store: %d writes of the document", outOfServiceWatch, seen, len(acceptedWrites)), err
}

// killHolder kills the holder of a failure domain that runs a job, and checks that the next holder adopts the job in
// the same attempt. It reports how many workers of the job have adopted the new holder's epoch.
func (d *demo) killHolder(ctx context.Context) (string, error) {
	j, err := d.submit(ctx, model.JobSpec{
		Account: borrower, Domain: "c", Tasks: 2, GPUsPerTask: 8, RunTime: longRunTime, Preemptible: true,
	}, model.JobRunning)
	if err != nil {
		return "", err
	}
	old, err := d.waitForHolder(ctx, "c", model.Epoch{})
	if err != nil {
		return "", err
	}
	if err := d.cluster.Kill(old.VM); err != nil {
		return "", err
	}
	defer func() { _ = d.cluster.Restart(old.VM) }()
	next, err := d.waitForHolder(ctx, "c", old.Epoch)
	if err != nil {
		return "", err
	}
	now, err := d.waitForJob(ctx, j.ID, model.JobRunning)
	if err != nil {
		return "", err
	}
	if now.Attempt != j.Attempt {
		return "", &restartError{now.Attempt}
	}
	workers, err := d.countWorkersAtEpoch(ctx, next.Epoch, j.Placement)
	if err != nil {
		return "", err
	}
	seen, err := d.checkGang(ctx, now)
	if err != nil {
		return "", err
	}
	epochs, err := d.acceptedWrites(ctx, "fd/c/epoch")
	if err != nil {
		return "", err
	}
	evidence := fmt.Sprintf("%s follows %s; store: %d epochs of c; %d workers accept epoch %s; attempt %d goes on; %s",
		next.VM, old.VM, len(epochs), workers, next.Epoch, now.Attempt, seen)
	return evidence, d.cancel(ctx, now)
}

// waitForHolder waits until a failure domain has a holder with a higher epoch than after.
func (d *demo) waitForHolder(ctx context.Context, domain model.FailureDomain, after model.Epoch) (httpapi.HolderStatus, error) {
	var out httpapi.HolderStatus
	err := waitUntil(ctx, fmt.Sprintf("holder of %s after epoch %s", domain, after), func() (string, bool) {
		for _, id := range d.cluster.EntryVMs() {
			if !d.cluster.Running(id) || d.cluster.Domain(id) != domain {
				continue
			}
			s, err := d.status(ctx, id)
			if err != nil {
				return err.Error(), false
			}
			for _, h := range s.Holders {
				if h.Domain == domain && after.Less(h.Epoch) {
					out = h
					return "", true
				}
			}
		}
		return "none", false
	})
	return out, err
}

// countWorkersAtEpoch counts the workers of a placement whose epoch is at least the given one. It reads the epoch with
// an exchange under the zero epoch, which a worker refuses with its own epoch and without any effect.
func (d *demo) countWorkersAtEpoch(ctx context.Context, epoch model.Epoch, p model.Placement) (int, error) {
	n := 0
	for _, vm := range d.cluster.PlatformVMs() {
		for _, slot := range p {
			if string(slot.Worker) != vm.ID {
				continue
			}
			client := worker.NewHTTPClient(vm.Address)
			r, err := client.Exchange(ctx, worker.Exchange{})
			client.Close()
			if err != nil {
				return n, err
			}
			if !r.Epoch.Less(epoch) {
				n++
			}
		}
	}
	return n, nil
}
