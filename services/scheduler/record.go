package scheduler

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/transfer"
)

// record is the durable state of one job. A later record of the job replaces an earlier one.
type record struct {
	Job             model.Job `json:"job,omitzero"`
	Progress        float64   `json:"progress,omitempty"`
	Failures        int       `json:"failures,omitempty"`
	FailedStarts    int       `json:"failed_starts,omitempty"`
	Confirmed       bool      `json:"confirmed,omitempty"`
	Cancelled       bool      `json:"cancelled,omitempty"`
	QueuedSince     time.Time `json:"since,omitzero"`
	Transfers       int       `json:"transfers,omitempty"`
	LastTransfer    time.Time `json:"last_transfer,omitzero"`
	StopUnconfirmed bool      `json:"lapsed,omitempty"`
}

// transferRecord is the second kind of record: a step of a transfer with the resulting state of its job, or a job that
// may run in another failure domain. Step and job are in one record, so that the log holds both or neither.
type transferRecord struct {
	Job    *record                `json:"job,omitempty"`
	Source *transfer.SourceRecord `json:"source,omitempty"`
	Target *transfer.TargetRecord `json:"target,omitempty"`
}

// logRecord is the encoding of both kinds of records in the log. A version of the software that does not know the
// second kind decodes it as an unconfirmed job, which it ignores, because it must not start a job that may run
// elsewhere.
type logRecord struct {
	record
	Transfer *transferRecord `json:"transfer,omitempty"`
}

func (j *job) record() record {
	r := record{
		Job: j.Job, Progress: j.progress, Failures: j.failures, FailedStarts: j.failedStarts,
		Confirmed: j.confirmed, Cancelled: j.cancelled, QueuedSince: j.queuedSince, Transfers: j.transfers,
		LastTransfer: j.lastTransfer, StopUnconfirmed: j.stopUnconfirmed,
	}
	r.Job.Placement = nil // The reports of the workers contain the placement.
	return r
}

// encode implements entry.
func (j *job) encode() []byte {
	r := j.record()
	if j.mayRunElsewhere() {
		return encodeRecord(logRecord{Transfer: &transferRecord{Job: &r}}, j.ID)
	}
	return encodeRecord(logRecord{record: r}, j.ID)
}

// transferStep is one record of a transfer at its source or its target.
type transferStep struct {
	entryState
	// job is nil if the job was already removed.
	job    *job
	source *transfer.SourceRecord
	target *transfer.TargetRecord
}

// encode implements entry.
func (step *transferStep) encode() []byte {
	t := transferRecord{Source: step.source, Target: step.target}
	id := model.JobID("")
	if step.job != nil {
		r := step.job.record()
		t.Job, id = &r, step.job.ID
	}
	return encodeRecord(logRecord{Transfer: &t}, id)
}

func encodeRecord(r logRecord, id model.JobID) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		klog.ErrorS(errors.Wrap(err, "encode job record"), "job record not encoded", "job", id)
	}
	return data
}

// decodeRecord returns the job of a record, which is empty if the record holds none, and the step of a transfer.
func decodeRecord(data []byte) (*job, transferRecord, error) {
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
		confirmed: r.Confirmed, cancelled: r.Cancelled, queuedSince: r.QueuedSince, transfers: r.Transfers,
		lastTransfer: r.LastTransfer, stopUnconfirmed: r.StopUnconfirmed,
	}, t, nil
}

// decodeJobRecord returns the job of a record that a worker has reported.
func decodeJobRecord(data []byte) (*job, error) {
	j, _, err := decodeRecord(data)
	return j, err
}
