package fleet

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/standins/link"
)

// TestRestartedExecutorCutOff guards against tasks that run twice: starts reach the next process of an executor, whose clock begins
// anew, and extend its lease to the longest one; the executor is cut off soon after.
func TestRestartedExecutorCutOff(t *testing.T) {
	// The longest lease has to exceed the lease for which holders ask.
	f := newFleetWith(t, 2, 3, "[executor]\nlease = 2s\n")
	f.awaitReady()
	f.awaitState(f.mustSubmit(12, 10*time.Millisecond, false), workload.StateCompleted)
	for range 3 {
		done := make(chan workload.JobID)
		go func() {
			time.Sleep(100 * time.Millisecond)
			done <- f.mustSubmit(9, 5*time.Second, false)
		}()
		f.restartSilently("e0", 250*time.Millisecond)
		id := <-done
		time.Sleep(200 * time.Millisecond)
		f.setPath("e0", link.ModeHold, 0)
		time.Sleep(2700 * time.Millisecond)
		f.setPath("e0", link.ModePass, 0)
		f.awaitState(id, workload.StateCompleted)
	}
	f.checkExecutors()
}
