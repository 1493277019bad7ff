// Package limit performs admission control of the requests of client accounts.
package limit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

const (
	// MaxInFlightPerAccount bounds the admitted requests of one account that have not ended. It equals the slots of 50
	// executors.
	MaxInFlightPerAccount = 400
	// MaxInFlightTotal bounds the admitted requests of all accounts that have not ended.
	MaxInFlightTotal = 2000
	// serviceTimeWeight is the weight of a new measurement in the exponentially weighted mean service time.
	serviceTimeWeight = 0.1
)

type account struct {
	limiter  *rate.Limiter
	policy   model.AccountPolicy
	inFlight int
}

// Limiter admits or rejects requests by the limits of the client accounts. It is not safe for concurrent use.
type Limiter struct {
	accounts        map[model.AccountID]*account
	totalInFlight   int
	meanServiceTime time.Duration
}

// New returns a limiter without policies. Until SetPolicies is called, no account has a rate limit.
func New() *Limiter { return &Limiter{accounts: make(map[model.AccountID]*account)} }

// SetPolicies applies the account policies of the preset in force. The token buckets of accounts whose rate and burst
// are unchanged keep their tokens.
func (l *Limiter) SetPolicies(p map[model.AccountID]model.AccountPolicy) {
	for id, policy := range p {
		l.account(id).setPolicy(policy)
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

func (a *account) setPolicy(p model.AccountPolicy) {
	if a.limiter != nil && a.policy.RequestsPerSecond == p.RequestsPerSecond && a.policy.RequestBurst == p.RequestBurst {
		return
	}
	a.policy, a.limiter = p, nil
	if p.RequestsPerSecond > 0 {
		a.limiter = rate.NewLimiter(rate.Limit(p.RequestsPerSecond), max(1, p.RequestBurst))
	}
}

// Admit admits a request and returns nil, or rejects it with failure.QueueFull, failure.Overloaded or
// failure.RateLimited. After an admission the caller must call Done when the request has ended. slots is the number of
// executor slots that accept requests, or 0 if unknown.
func (l *Limiter) Admit(id model.AccountID, slots int, deadline, now time.Time) *failure.Error {
	a := l.account(id)
	switch {
	case a.inFlight >= MaxInFlightPerAccount:
		return failure.New(failure.QueueFull, "account %s has %d requests in progress", id, a.inFlight)
	case l.totalInFlight >= MaxInFlightTotal:
		return failure.New(failure.Overloaded, "%d requests are in progress", l.totalInFlight)
	case now.Add(l.expectedWait(slots)).After(deadline):
		return failure.New(failure.Overloaded, "the expected wait of %v exceeds the deadline", l.expectedWait(slots))
	case a.limiter != nil && !a.limiter.AllowN(now, 1):
		return failure.New(failure.RateLimited, "account %s exceeds %g requests a second", id, a.policy.RequestsPerSecond)
	}
	a.inFlight++
	l.totalInFlight++
	return nil
}

// expectedWait estimates the time until a new request gets a slot, from the requests in flight and the mean service
// time (Little's law).
func (l *Limiter) expectedWait(slots int) time.Duration {
	if slots == 0 || l.totalInFlight < slots {
		return 0
	}
	return time.Duration(float64(l.meanServiceTime) * float64(l.totalInFlight-slots+1) / float64(slots))
}

// Done records the end of an admitted request. took is the service time of its attempt, or 0 if none was made.
func (l *Limiter) Done(id model.AccountID, took time.Duration) {
	l.account(id).inFlight--
	l.totalInFlight--
	switch {
	case took <= 0:
	case l.meanServiceTime == 0:
		l.meanServiceTime = took
	default:
		l.meanServiceTime += time.Duration(serviceTimeWeight * float64(took-l.meanServiceTime))
	}
}
