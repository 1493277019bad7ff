package scheduler

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
)

// record is the durable state of one job. A later record of a job replaces an earlier one.
type record struct {
	Job          model.Job `json:"job,omitzero"`
	Progress     float64   `json:"progress,omitempty"`
	Failures     int       `json:"failures,omitempty"`
	FailedStarts int       `json:"failed_starts,omitempty"`
	Confirmed    bool      `json:"confirmed,omitempty"`
	Cancelled    bool      `json:"cancelled,omitempty"`
	Since        time.Time `json:"since,omitzero"`
	Transfers    int       `json:"transfers,omitempty"`
	LastTransfer time.Time `json:"last_transfer,omitzero"`
	Lapsed       bool      `json:"lapsed,omitempty"`
}

// transferRecord is the second kind of record: a step of a transfer with the state of its job after it, or a job
// that runs elsewhere. The two are one record, so that the log holds both or neither.
type transferRecord struct {
	Job    *record                `json:"job,omitempty"`
	Source *transfer.SourceRecord `json:"source,omitempty"`
	Target *transfer.TargetRecord `json:"target,omitempty"`
}

// logRecord is the form of both kinds in the log. A version that does not know the second kind reads it as an
// unconfirmed job, which it ignores; it must not start a job that may run elsewhere.
type logRecord struct {
	record
	Transfer *transferRecord `json:"transfer,omitempty"`
}

func (j *job) record() record {
	r := record{
		Job: j.Job, Progress: j.progress, Failures: j.failures, FailedStarts: j.failedStarts,
		Confirmed: j.confirmed, Cancelled: j.cancelled, Since: j.since, Transfers: j.transfers,
		LastTransfer: j.lastTransfer, Lapsed: j.lapsed,
	}
	r.Job.Placement = nil // Worker reports tell where the tasks are.
	return r
}

// encode implements entry.
func (j *job) encode() []byte {
	r := j.record()
	if j.elsewhere() {
		return encode(logRecord{Transfer: &transferRecord{Job: &r}}, j.ID)
	}
	return encode(logRecord{record: r}, j.ID)
}

// step is one record of a transfer at its source or target.
type step struct {
	recorded
	// job is nil if the job is no longer kept.
	job    *job
	source *transfer.SourceRecord
	target *transfer.TargetRecord
}

// encode implements entry.
func (p *step) encode() []byte {
	t := transferRecord{Source: p.source, Target: p.target}
	id := model.JobID("")
	if p.job != nil {
		r := p.job.record()
		t.Job, id = &r, p.job.ID
	}
	return encode(logRecord{Transfer: &t}, id)
}

func encode(r logRecord, id model.JobID) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(errors.Wrap(err, "encode job"), "job record not encoded", "job", id)
	}
	return data
}

// decode returns the job of a record, which is empty if the record holds none, and the step of a transfer.
func decode(data []byte) (*job, transferRecord, error) {
	var l logRecord
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, transferRecord{}, errors.Wrap(err, "decode job record")
	}
	r, t := l.record, transferRecord{}
	if l.Transfer != nil {
		r, t = record{}, *l.Transfer
		if t.Job != nil {
			r = *t.Job
		}
	}
	return &job{
		Job: r.Job, progress: r.Progress, failures: r.Failures, failedStarts: r.FailedStarts,
		confirmed: r.Confirmed, cancelled: r.Cancelled, since: r.Since, transfers: r.Transfers,
		lastTransfer: r.LastTransfer, lapsed: r.Lapsed,
	}, t, nil
}

// decodeJob returns the job of a record that a worker keeps.
func decodeJob(data []byte) (*job, error) {
	j, _, err := decode(data)
	return j, err
}
