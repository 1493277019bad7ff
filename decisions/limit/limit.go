// Package limit decides which requests of client accounts are admitted.
package limit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxInFlight bounds the admitted requests of one account that have not ended: the slots of 50 executors.
	MaxInFlight = 400
	// MaxTotal bounds the admitted requests of all accounts.
	MaxTotal = 2000
	// weight is the part of a new measurement in the mean service time.
	weight = 0.1
)

type account struct {
	limiter  *rate.Limiter
	policy   model.AccountPolicy
	inFlight int
}

// Limiter holds the limits of all client accounts. It is not safe for concurrent use.
type Limiter struct {
	accounts map[model.AccountID]*account
	total    int
	mean     time.Duration
}

// New returns a limiter that knows no account. Until SetPolicies every account is admitted without a rate.
func New() *Limiter { return &Limiter{accounts: make(map[model.AccountID]*account)} }

// SetPolicies applies the preset in force. Buckets of unchanged policies keep their tokens.
func (l *Limiter) SetPolicies(p map[model.AccountID]model.AccountPolicy) {
	for id, policy := range p {
		l.account(id).set(policy)
	}
	for id, a := range l.accounts {
		if _, ok := p[id]; !ok && a.inFlight == 0 {
			delete(l.accounts, id)
		}
	}
}

func (l *Limiter) account(id model.AccountID) *account {
	a, ok := l.accounts[id]
	if !ok {
		a = &account{}
		l.accounts[id] = a
	}
	return a
}

func (a *account) set(p model.AccountPolicy) {
	if a.limiter != nil && a.policy.RequestsPerSecond == p.RequestsPerSecond && a.policy.RequestBurst == p.RequestBurst {
		return
	}
	a.policy, a.limiter = p, nil
	if p.RequestsPerSecond > 0 {
		a.limiter = rate.NewLimiter(rate.Limit(p.RequestsPerSecond), max(1, p.RequestBurst))
	}
}

// Admit decides on a request. After nil the caller calls Done when the request has ended. slots is the
// number of executor slots that accept requests; 0 if unknown. It fails with failure.QueueFull,
// failure.Overloaded or failure.RateLimited.
func (l *Limiter) Admit(id model.AccountID, slots int, deadline, now time.Time) *failure.Error {
	a := l.account(id)
	switch {
	case a.inFlight >= MaxInFlight:
		return failure.New(failure.QueueFull, "account %s has %d requests in progress", id, a.inFlight)
	case l.total >= MaxTotal:
		return failure.New(failure.Overloaded, "%d requests are in progress", l.total)
	case now.Add(l.expectedWait(slots)).After(deadline):
		return failure.New(failure.Overloaded, "the expected wait of %v exceeds the deadline", l.expectedWait(slots))
	case a.limiter != nil && !a.limiter.AllowN(now, 1):
		return failure.New(failure.RateLimited, "account %s exceeds %g requests a second", id, a.policy.RequestsPerSecond)
	}
	a.inFlight++
	l.total++
	return nil
}

// expectedWait estimates the time until a new request gets a slot, from the requests in progress and the
// mean service time (Little's law).
func (l *Limiter) expectedWait(slots int) time.Duration {
	if slots == 0 || l.total < slots {
		return 0
	}
	return time.Duration(float64(l.mean) * float64(l.total-slots+1) / float64(slots))
}

// Done ends an admitted request. took is the service time of its attempt; 0 if none was made.
func (l *Limiter) Done(id model.AccountID, took time.Duration) {
	l.account(id).inFlight--
	l.total--
	switch {
	case took <= 0:
	case l.mean == 0:
		l.mean = took
	default:
		l.mean += time.Duration(weight * float64(took-l.mean))
	}
}
