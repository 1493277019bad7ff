package backlog

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

const testLimit = 100_000

// TestAtLimit guards against accepted jobs that exceed the limit together, against an account that takes the share of another, and
// against a refusal while there is room.
func TestAtLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var configured []workload.Account
		for i := range rapid.IntRange(1, 6).Draw(t, "accounts") {
			configured = append(configured, workload.Account(fmt.Sprint("a", i)))
		}
		share := int64(testLimit / 2 / len(configured))
		var (
			u       Usage
			atLimit []workload.Account
		)
		type job struct {
			account workload.Account
			bytes   int64
		}
		var jobs []job
		own := map[workload.Account]int64{}
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			if len(jobs) > 0 && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				i := rapid.IntRange(0, len(jobs)-1).Draw(t, "job")
				u.Add(jobs[i].account, -jobs[i].bytes)
				own[jobs[i].account] -= jobs[i].bytes
				jobs = slices.Delete(jobs, i, i+1)
			} else {
				j := job{rapid.SampledFrom(configured).Draw(t, "account"), int64(rapid.IntRange(1, 3000).Draw(t, "bytes"))}
				if slices.Contains(atLimit, j.account) {
					if own[j.account] < share*8/10 {
						t.Fatalf("%s is refused with %d of its share of %d bytes", j.account, own[j.account], share)
					}
					if u.Total() < testLimit/2-testLimit/5 {
						t.Fatalf("%s is refused while all accounts take %d of %d bytes", j.account, u.Total(), testLimit)
					}
					continue
				}
				u.Add(j.account, j.bytes)
				own[j.account] += j.bytes
				jobs = append(jobs, j)
			}
			atLimit = u.AtLimit(testLimit, configured, atLimit)
			// Each account may exceed its limit by one job.
			if most := int64(testLimit + 3000*len(configured)); u.Total() > most {
				t.Fatalf("%d bytes are accepted, at most %d may be", u.Total(), most)
			}
		}
		for _, j := range jobs {
			u.Add(j.account, -j.bytes)
		}
		if u.Total() != 0 || len(u.accounts) != 0 || len(u.AtLimit(testLimit, configured, configured)) != 0 {
			t.Fatalf("%d bytes in %d accounts are counted after all jobs have ended", u.Total(), len(u.accounts))
		}
	})
}

// TestAccountWithoutConfiguration guards against jobs of a removed account that keep its successors from their shares without an
// end to them: it has no share of its own.
func TestAccountWithoutConfiguration(t *testing.T) {
	var u Usage
	u.Add("removed", testLimit)
	if got := u.AtLimit(testLimit, []workload.Account{"a"}, nil); !slices.Equal(got, []workload.Account{"removed"}) {
		t.Errorf("%v are at the limit, want the removed account only", got)
	}
}
