// Package backlog bounds the accepted jobs of a fleet by the memory that they take on its holder.
//
// It answers accounts that submit jobs faster than these end: every VM must be able to hold the fleet, and a holder keeps
// each job until it has ended and its retention is over.
package backlog

import (
	"slices"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// DefaultLimit is the memory in bytes that accepted jobs may take. A VM of 144 MB can hold them in a fleet of 40 VMs, one of
// 184 MB in a fleet of 300; see docs/decisions/accepted-jobs.md.
const DefaultLimit = 32 << 20

// WaitingOccurrences is the number of due occurrences of a job for which the scheduler holds state while none of their tasks
// has started.
const WaitingOccurrences = 8

const (
	// jobBytes, stepBytes and dependencyBytes are what the scheduler holds of a job, of each step and of each dependency of a step
	// while the job waits. finishedJobBytes is what it holds of a finished job besides its steps.
	jobBytes         = 2 << 10
	stepBytes        = 448
	dependencyBytes  = 8
	finishedJobBytes = 1 << 10
	// occurrenceBytes and occurrenceStepBytes are what the scheduler holds of a waiting occurrence and of each of its steps.
	occurrenceBytes     = 1 << 10
	occurrenceStepBytes = 160
	// encodedStepBytes and encodedDependencyBytes are the largest sizes of the encoded numbers of a step and of a dependency: a new
	// holder reads the records of all jobs at once.
	encodedStepBytes       = 384
	encodedDependencyBytes = 4
)

// JobBytes returns the memory that an accepted job takes, at most. A finished one is not started any more.
func JobBytes(j *workload.Job, finished bool) int64 {
	texts, dependencies := len(j.Queue)+len(j.Account)+len(j.KeyHash), 0
	for i := range j.Steps {
		s := &j.Steps[i]
		texts += len(s.Requires) + len(s.Rack) + len(s.Image)
		dependencies += len(s.After)
	}
	steps := len(j.Steps)
	encoded := len(j.Spec) + texts + steps*encodedStepBytes + dependencies*encodedDependencyBytes
	held := finishedJobBytes + texts + steps*stepBytes/2 + dependencies*dependencyBytes
	if !finished {
		held = jobBytes + len(j.Spec) + texts + steps*stepBytes + dependencies*dependencyBytes
		held += min(j.Occurrences, WaitingOccurrences) * (occurrenceBytes + steps*occurrenceStepBytes)
	}
	return int64(encoded + held)
}

// Usage counts what the accepted jobs of client accounts take. The zero value counts nothing.
type Usage struct {
	accounts map[workload.Account]int64
	total    int64
}

// Add adds the bytes of a job of an account; a negative number removes them.
func (u *Usage) Add(a workload.Account, bytes int64) {
	if u.accounts == nil {
		u.accounts = map[workload.Account]int64{}
	}
	u.total += bytes
	if u.accounts[a] += bytes; u.accounts[a] == 0 {
		delete(u.accounts, a)
	}
}

// Total returns the bytes of all accounts.
func (u *Usage) Total() int64 { return u.total }

// reopenShare is the share of a limit below which an account that was at the limit may submit again, so that the set of
// accounts at the limit changes seldom.
const reopenShare = 0.9

// AtLimit returns, in ascending order, the accounts that may not submit jobs. Half of the limit is shared out equally among
// the configured accounts and kept for each of them; the rest goes to whoever comes first. atLimit lists the accounts that were at
// the limit until now.
func (u *Usage) AtLimit(limit int64, configured, atLimit []workload.Account) []workload.Account {
	reopen := int64(reopenShare * float64(limit))
	if u.total < reopen-limit/2 {
		return nil
	}
	share := limit / 2 / int64(max(1, len(configured)))
	reserved := u.total
	for _, a := range configured {
		reserved += max(0, share-u.accounts[a])
	}
	var out []workload.Account
	for a, own := range u.accounts {
		ownLimit, all := share, limit
		if slices.Contains(atLimit, a) {
			ownLimit, all = int64(reopenShare*float64(share)), reopen
		}
		if !slices.Contains(configured, a) {
			// Accounts without a configuration have no share.
			ownLimit = 0
		}
		if own >= ownLimit && reserved >= all {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}
