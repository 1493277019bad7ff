// Package records names the product's entries in the store and encodes them.
package records

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Keys and prefixes of the product's entries.
const (
	// HolderPrefix covers the holder and the term.
	HolderPrefix = "vf/h/"
	// HolderKey holds the present holder under its lease.
	HolderKey = HolderPrefix + "holder"
	// TermKey counts the holders.
	TermKey = HolderPrefix + "term"
	// QueuePrefix covers accepted jobs and cancellations.
	QueuePrefix    = "vf/q/"
	jobPrefix      = QueuePrefix + "j/"
	cancelPrefix   = QueuePrefix + "x/"
	progressPrefix = "vf/p/"
	// ProgressPrefix covers what holders record of jobs.
	ProgressPrefix = progressPrefix
	// SaveKey changes with each record of a holder, so that a record that the store applies late does not replace a newer one.
	SaveKey = "vf/save"
	// RosterKey lists the executors that may run tasks.
	RosterKey = "vf/roster"
)

// JobKey returns the key of an accepted job.
func JobKey(id workload.JobID) string { return jobPrefix + string(id) }

// CancelKey returns the key of a cancellation.
func CancelKey(id workload.JobID) string { return cancelPrefix + string(id) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id workload.JobID) string { return progressPrefix + string(id) }

// Job returns the job that a key of QueuePrefix accepts or cancels.
func Job(key string) (id workload.JobID, cancelled, ok bool) {
	if s, found := strings.CutPrefix(key, jobPrefix); found {
		return workload.JobID(s), false, true
	}
	s, found := strings.CutPrefix(key, cancelPrefix)
	return workload.JobID(s), true, found
}

// ProgressJob returns the job of a key of ProgressPrefix.
func ProgressJob(key string) workload.JobID {
	return workload.JobID(strings.TrimPrefix(key, progressPrefix))
}

// Holder is the entry of HolderKey.
type Holder struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// Incarnation names one life of the VM's process.
	Incarnation string `json:"incarnation"`
	Term        int64  `json:"term"`
	// Released is set once the holder has given the fleet up.
	Released bool `json:"released,omitempty"`
}

// Term is the entry of TermKey.
type Term struct {
	Term        int64  `json:"term"`
	Incarnation string `json:"incarnation"`
}

// DecodeError reports an entry that cannot be read.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("entry %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode encodes an entry of this package or a job. These types can always be encoded.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads an entry. It returns a *DecodeError.
func Decode[T any](key string, value []byte) (T, error) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return v, &DecodeError{key, err}
	}
	return v, nil
}
