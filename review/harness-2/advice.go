package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["advice"] = reclaimWithAdvice }

// Figures of the advice of the urgent queue.
const (
	adviceDecide = 20 * time.Millisecond
	adviceEach   = 2 * time.Millisecond
	adviceValid  = 3 * time.Second
	maxWorkers   = 100
)

// advisor is a stand-in for the service that knows which executors may run a step: here all. Tickets are valid for one step
// and one life of an executor.
type advisor struct {
	rec *record
	// turn is held while a call is handled.
	turn    sync.Mutex
	mu      sync.Mutex
	tickets map[string]time.Time
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/verbenaflow/advise" || json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > maxWorkers {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(adviceDecide + time.Duration(len(in.Workers))*adviceEach)
	a.turn.Unlock()
	good := [][]string{}
	a.mu.Lock()
	for _, id := range in.Workers {
		ticket := fmt.Sprintf("%s-%s", in.Step, id)
		a.tickets[ticket] = time.Now().Add(adviceValid)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	a.rec.line("advice: step %s, asked for %v", in.Step, in.Workers)
	reply(w, http.StatusOK, map[string]any{"good": good, "valid_ms": adviceValid.Milliseconds()})
}

// valid reports whether a ticket is valid for a start.
func (a *advisor) valid(ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[ticket])
}

// reclaimWithAdvice lets another tenant's batch work fill all accelerators before a guaranteed job of a queue with advice comes.
func reclaimWithAdvice(w *world) (string, error) {
	const guaranteed = 8
	w.advisor = &advisor{rec: w.rec, tickets: map[string]time.Time{}}
	if err := w.begin(guaranteed, 3, 3); err != nil {
		return "", err
	}
	if w.trouble {
		if err := w.submit(batchPrefix, jobID(1), guestKey, "work 100000", tasks(24, 100_000)); err != nil {
			return "", err
		}
		if err := wait(10*time.Second, "batch tasks run", func() bool { return w.running(jobID(1)) == 24 }); err != nil {
			return "", err
		}
		time.Sleep(6 * time.Second)
	}
	if err := w.submit(urgentPrefix, jobID(2), hostKey, "work 1000", tasks(guaranteed, 1000)); err != nil {
		return "", err
	}
	return w.awaitReclaim(jobID(2), guaranteed), nil
}
