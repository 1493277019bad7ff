package main

import (
	"net/url"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// waitInterval is the polling interval of submit --wait. The HTTP interface has no watch for a job.
const waitInterval = 250 * time.Millisecond

type jobSubmit struct {
	app         *app
	Account     string        `long:"account" required:"true" description:"client account"`
	Domain      string        `long:"domain" description:"failure domain; without it the system chooses one and may move the job while it waits"`
	Tasks       int           `long:"tasks" default:"1" description:"gang size"`
	GPUs        int           `long:"gpus" default:"1" description:"adjacent accelerators per task: 1, 2, 4 or 8, or 0 for a task that needs processors only"`
	Cores       int           `long:"cores" description:"processor cores per task"`
	MemoryMB    int           `long:"memory-mb" description:"memory per task in MB"`
	Within      string        `long:"within" description:"smallest cell that contains the gang"`
	RunTime     time.Duration `long:"run-time" default:"1m" description:"declared run time"`
	Preemptible bool          `long:"preemptible" description:"permit use beyond the guarantee"`
	Urgent      bool          `long:"urgent" description:"place the job before others"`
	Key         string        `long:"key" description:"idempotency key"`
	Command     string        `long:"command" description:"command for the workers"`
	Wait        bool          `long:"wait" description:"wait until the job has ended"`
}

// Execute implements flags.Commander.
func (o *jobSubmit) Execute([]string) error {
	spec := model.JobSpec{
		Account: model.AccountID(o.Account), Domain: model.FailureDomain(o.Domain),
		Tasks: o.Tasks, GPUsPerTask: o.GPUs, CoresPerTask: o.Cores, MemoryMBPerTask: o.MemoryMB, Within: model.Level(o.Within), RunTime: o.RunTime,
		Preemptible: o.Preemptible, Urgent: o.Urgent, Key: o.Key, Command: o.Command,
	}
	var j model.Job
	if err := o.app.post("/v1/jobs", spec, &j); err != nil {
		return err
	}
	// The state "moved" is final only in the source domain. Polling continues, because the entry VM returns the state of
	// the job in its new failure domain as soon as it can reach that domain.
	for o.Wait && (!j.State.Final() || j.State == model.JobMoved) {
		time.Sleep(waitInterval)
		if err := o.app.get("/v1/job?id="+url.QueryEscape(string(j.ID)), &j); err != nil {
			return err
		}
	}
	if err := o.app.printJobs(j, j); err != nil {
		return err
	}
	if o.Wait && j.State != model.JobSucceeded {
		return &jobError{j}
	}
	return nil
}

type jobStatus struct {
	app  *app
	Args struct {
		Job string `positional-arg-name:"JOB" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *jobStatus) Execute([]string) error {
	var j model.Job
	if err := o.app.get("/v1/job?id="+url.QueryEscape(o.Args.Job), &j); err != nil {
		return err
	}
	return o.app.printJobs(j, j)
}

type jobCancel struct {
	app     *app
	Account string `long:"account" required:"true" description:"client account of the jobs"`
	Args    struct {
		Jobs []string `positional-arg-name:"JOB" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *jobCancel) Execute([]string) error {
	in := httpapi.CancelJobsRequest{Account: model.AccountID(o.Account)}
	for _, j := range o.Args.Jobs {
		in.Jobs = append(in.Jobs, model.JobID(j))
	}
	var jobs []model.Job
	if err := o.app.post("/v1/jobs/cancel", in, &jobs); err != nil {
		return err
	}
	return o.app.printJobs(jobs, jobs...)
}

type jobList struct {
	app     *app
	Account string `long:"account" description:"client account; by default all"`
	Domain  string `long:"domain" description:"failure domain; by default that of the entry VM"`
}

// Execute implements flags.Commander.
func (o *jobList) Execute([]string) error {
	q := url.Values{"account": {o.Account}, "domain": {o.Domain}}
	var jobs []model.Job
	if err := o.app.get("/v1/jobs?"+q.Encode(), &jobs); err != nil {
		return err
	}
	return o.app.printJobs(jobs, jobs...)
}

func (a *app) printJobs(v any, jobs ...model.Job) error {
	rows := [][]any{{"JOB", "ACCOUNT", "STATE", "ATTEMPT", "TASKS", "GPUS", "SUBMITTED", "REASON", "MOVED TO"}}
	for _, j := range jobs {
		rows = append(rows, []any{
			j.ID, j.Spec.Account, j.State, j.Attempt, j.Spec.Tasks, j.Spec.GPUs(),
			j.Submitted.Format(time.RFC3339), j.Reason, j.MovedTo,
		})
	}
	return a.printResult(v, rows...)
}
