// Package records defines the keys and the encoding of verbenaflow's entries in the store.
package records

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Keys and prefixes of the entries.
const (
	// HolderPrefix covers the holder, the term and the backlog, which all VMs watch.
	HolderPrefix = "vf/h/"
	// HolderKey holds the current holder. The entry is bound to the holder's lease.
	HolderKey = HolderPrefix + "holder"
	// TermKey holds the number of the last term and outlives its holder's lease.
	TermKey = HolderPrefix + "term"
	// BacklogKey holds the client accounts that may not submit jobs.
	BacklogKey = HolderPrefix + "backlog"
	// QueuePrefix covers accepted jobs, cancellations and tombstones.
	QueuePrefix     = "vf/q/"
	jobPrefix       = QueuePrefix + "j/"
	cancelPrefix    = QueuePrefix + "x/"
	tombstonePrefix = QueuePrefix + "t/"
	progressPrefix  = "vf/p/"
	// ProgressPrefix covers the progress that holders record of jobs.
	ProgressPrefix = progressPrefix
	// SaveKey is written by every transaction of a holder on the condition of its previous revision, so that a
	// transaction that the store applies late does not overwrite a newer record.
	SaveKey = "vf/save"
	// RosterKey holds the executors on which tasks may be running.
	RosterKey = "vf/roster"
	// RunTimesKey holds what holders have learned about run times.
	RunTimesKey = "vf/runtimes"
)

// JobKey returns the key of an accepted job.
func JobKey(id workload.JobID) string { return jobPrefix + string(id) }

// CancelKey returns the key of a cancellation.
func CancelKey(id workload.JobID) string { return cancelPrefix + string(id) }

// TombstoneKey returns the key of the tombstone of a job that a client account has cancelled before it was stored. A
// job is stored only on the condition that its account has left no tombstone. The account is part of the key, so that no
// account can keep the jobs of another from being stored; it is hashed, because the store limits the length of keys.
func TombstoneKey(id workload.JobID, account workload.Account) string {
	hash := sha256.Sum256([]byte(account))
	return tombstonePrefix + string(id) + "/" + hex.EncodeToString(hash[:8])
}

// IsTombstoneKey reports whether a key of QueuePrefix is that of a tombstone.
func IsTombstoneKey(key string) bool { return strings.HasPrefix(key, tombstonePrefix) }

// ProgressKey returns the key of a job's progress.
func ProgressKey(id workload.JobID) string { return progressPrefix + string(id) }

// ParseQueueKey parses a key of QueuePrefix: the entry accepts the job id, or cancels it. ok is false for other keys.
func ParseQueueKey(key string) (id workload.JobID, cancelled, ok bool) {
	if s, found := strings.CutPrefix(key, jobPrefix); found {
		return workload.JobID(s), false, true
	}
	s, found := strings.CutPrefix(key, cancelPrefix)
	return workload.JobID(s), true, found
}

// ParseProgressKey returns the job that a key of ProgressPrefix belongs to.
func ParseProgressKey(key string) workload.JobID {
	return workload.JobID(strings.TrimPrefix(key, progressPrefix))
}

// Tombstone is the entry of a cancelled job that was not stored.
type Tombstone struct {
	Account workload.Account `json:"account"`
}

// Holder is the entry of HolderKey.
type Holder struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	// Incarnation identifies one run of the VM's process.
	Incarnation string `json:"incarnation"`
	Term        int64  `json:"term"`
	// Released is set once the holder has resigned.
	Released bool `json:"released,omitempty"`
	// Retaken is set if the holder took the fleet back from an earlier process of its VM.
	Retaken bool `json:"retaken,omitempty"`
}

// Term is the entry of TermKey.
type Term struct {
	Term        int64  `json:"term"`
	Incarnation string `json:"incarnation"`
}

// Backlog is the entry of BacklogKey.
type Backlog struct {
	// AtLimit lists the accounts whose submissions are refused, because the accepted jobs take all the memory for them.
	AtLimit []workload.Account `json:"at_limit"`
}

// DecodeError reports an entry that cannot be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("entry %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode encodes an entry as JSON. It panics on an error, which the types of this package and workload never cause.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes an entry. Its error is a *DecodeError.
func Decode[T any](key string, value []byte) (T, error) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return v, &DecodeError{key, err}
	}
	return v, nil
}
