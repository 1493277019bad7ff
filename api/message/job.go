package message

import "github.com/verbenaflow/verbenaflow/api/model"

// JobSubmit asks the scheduler to queue a job; answered by JobReply.
type JobSubmit struct{ Spec model.JobSpec }

// JobCancel asks the scheduler to cancel jobs of an account; answered by JobsReply. It does not change jobs that
// have ended.
type JobCancel struct {
	Account model.AccountID
	Jobs    []model.JobID
}

// JobStatus asks the scheduler for one job; answered by JobReply.
type JobStatus struct{ Job model.JobID }

// JobList asks the scheduler for the jobs of an account, or of all accounts if empty; answered by JobsReply.
type JobList struct{ Account model.AccountID }

// JobReply carries one job.
type JobReply struct{ Job model.Job }

// JobsReply carries several jobs.
type JobsReply struct{ Jobs []model.Job }

// AccountShow asks the scheduler for the policy and the resource use of an account; answered by AccountReply.
type AccountShow struct{ Account model.AccountID }

// AccountReply carries the policy and the resource use of an account in one failure domain.
type AccountReply struct {
	Account     model.AccountID     `json:"account"`
	Domain      model.FailureDomain `json:"domain"`
	Policy      model.AccountPolicy `json:"policy"`
	GPUsRunning int                 `json:"gpus_running"`
	GPUsQueued  int                 `json:"gpus_queued"`
	Guaranteed  int                 `json:"gpus_guaranteed"`
}

// Kind implements kernel.Message.
func (JobSubmit) Kind() string { return "job_submit" }

// Kind implements kernel.Message.
func (JobCancel) Kind() string { return "job_cancel" }

// Kind implements kernel.Message.
func (JobStatus) Kind() string { return "job_status" }

// Kind implements kernel.Message.
func (JobList) Kind() string { return "job_list" }

// Kind implements kernel.Message.
func (JobReply) Kind() string { return "job_reply" }

// Kind implements kernel.Message.
func (JobsReply) Kind() string { return "jobs_reply" }

// Kind implements kernel.Message.
func (AccountShow) Kind() string { return "account_show" }

// Kind implements kernel.Message.
func (AccountReply) Kind() string { return "account_reply" }
