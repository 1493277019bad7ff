// Package recordlimit bounds the records that a client account adds to the store through one VM, so that one account can
// neither fill the store nor use up its writes.
package recordlimit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// Settings are the limits of each account at one VM.
type Settings struct {
	// Rate is the number of units that an account may add a second, Burst how many at once.
	Rate  float64
	Burst int
	// Window is the time for which the store keeps tombstones. In that time an account may add Records units and Tombstones
	// tombstones.
	Window     time.Duration
	Records    int
	Tombstones int
}

// DefaultSettings returns the default limits. They are far above what an account does inside the platform's pages: the busiest
// day has some hundred calls a second at all VMs together. Seven VMs of today's size write at most 350 units a second for one account,
// of the 400 that the store takes.
func DefaultSettings() Settings {
	return Settings{Rate: 50, Burst: 400, Window: 10 * time.Minute, Records: 5000, Tombstones: 1000}
}

// Kind is what a call adds to the store.
type Kind uint8

// Kinds of records.
const (
	// Job is a submission.
	Job Kind = iota
	// Cancel is the cancellation of a stored job.
	Cancel
	// Tombstone is the cancellation of a job that is not stored.
	Tombstone
	kindCount
)

// UnitBytes is the size of a record that counts as one unit. Each further part of that size counts as another one.
const UnitBytes = 4 << 10

// Units returns the units of a record of n bytes.
func Units(n int) int { return 1 + n/UnitBytes }

// Limiter holds the limits of all accounts. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	accounts map[workload.Account]*account
}

// account holds a bucket for each kind and each span. Kinds have buckets of their own, so that an account that submits too
// much can still cancel.
type account struct {
	second, window [kindCount]*rate.Limiter
}

// New returns a limiter.
func New(s Settings) *Limiter {
	return &Limiter{settings: s, accounts: map[workload.Account]*account{}}
}

// Allow reports whether an account may add units of a kind, and counts them if it may.
func (l *Limiter) Allow(now time.Time, id workload.Account, k Kind, units int) bool {
	a := l.accounts[id]
	if a == nil {
		a = &account{}
		for k := range kindCount {
			most := l.settings.Records
			if k == Tombstone {
				most = l.settings.Tombstones
			}
			a.second[k] = rate.NewLimiter(rate.Limit(l.settings.Rate), l.settings.Burst)
			a.window[k] = rate.NewLimiter(rate.Limit(float64(most)/l.settings.Window.Seconds()), most)
		}
		l.accounts[id] = a
	}
	if a.second[k].TokensAt(now) < float64(units) || a.window[k].TokensAt(now) < float64(units) {
		return false
	}
	return a.second[k].AllowN(now, units) && a.window[k].AllowN(now, units)
}

// Retain forgets the accounts that are not in the configuration any more.
func (l *Limiter) Retain(exists func(workload.Account) bool) {
	for id := range l.accounts {
		if !exists(id) {
			delete(l.accounts, id)
		}
	}
}
