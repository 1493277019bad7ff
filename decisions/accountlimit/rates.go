package accountlimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const (
	// burstTime is the time for which an account that was idle may submit at twice its rate.
	burstTime = 2 * time.Second
	// minBurst is the smallest burst in jobs, because independent callers of an account submit at random intervals: at
	// half of the rate of an account fewer than 1 job in 100 exceeds it.
	minBurst = 4
)

// Rates marks the submissions by which client accounts exceed their rates. Its zero value knows no account. It is not
// safe for concurrent use.
type Rates struct {
	accounts map[workload.Account]*bucket
}

// bucket is the token bucket of an account.
type bucket struct {
	limiter *rate.Limiter
	perSec  float64
	// latest is the time of the latest submission.
	latest time.Time
}

// Exceeds counts a submission of an account at a time and reports whether it exceeds the rate of perSec jobs a second,
// which a submission that exceeds it does not use up. Submissions are to be counted in the order of their times; one that
// is earlier than the one before counts as simultaneous with it. A rate of 0 means no limit.
func (r *Rates) Exceeds(a workload.Account, perSec float64, at time.Time) bool {
	if perSec <= 0 {
		delete(r.accounts, a)
		return false
	}
	burst := max(minBurst, int(math.Ceil(perSec*burstTime.Seconds())))
	b := r.accounts[a]
	switch {
	case b == nil:
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(perSec), burst), perSec: perSec, latest: at}
		if r.accounts == nil {
			r.accounts = map[workload.Account]*bucket{}
		}
		r.accounts[a] = b
	case b.perSec != perSec:
		b.perSec = perSec
		b.limiter.SetLimitAt(b.latest, rate.Limit(perSec))
		b.limiter.SetBurstAt(b.latest, burst)
	}
	if at.After(b.latest) {
		b.latest = at
	}
	return !b.limiter.AllowN(b.latest, 1)
}
