// Command review3 runs the cases of the third independent review: review3 CASE RECORD. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.2f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// step is a step of a job as clients send it.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemoryMB    int    `json:"mem_mb,omitempty"`
	GPU         int    `json:"gpu,omitempty"`
	EstimateMS  int    `json:"estimate_ms,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`
}

// job is a job that a client submits.
type job struct {
	id     string
	queue  queue
	tenant tenant
	spec   string
	steps  []step
	// repeat is the number of occurrences, 0 for a job that runs once; they are due every minute from start on.
	repeat int
	start  time.Time
	// accepted is when the 2xx response arrived.
	accepted time.Time
}

// call makes a client call and returns the status and the body of the response.
func (w *world) call(v *vm, method, path string, t tenant, body []byte) (int, string, error) {
	r, err := http.NewRequestWithContext(w.ctx, method, "http://"+v.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+t.key())
	r.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	client := *w.http
	client.Timeout = 3 * time.Second
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// submit submits a job until it is accepted, at one VM after the other.
func (w *world) submit(q queue, t tenant, spec string, steps ...step) (*job, error) {
	return w.submitJob(&job{queue: q, tenant: t, spec: spec, steps: steps})
}

// submitQuietly submits a job at one VM and notes only refusals.
func (w *world) submitQuietly(v *vm, j *job) (*job, error) {
	w.lastJob++
	j.id = fmt.Sprintf("%016x", 0xabc0000+w.lastJob)
	body, _ := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	for range 50 {
		status, text, err := w.call(v, http.MethodPost, j.queue.prefix()+j.id, j.tenant, body)
		if status/100 == 2 {
			j.accepted = time.Now()
			return j, nil
		}
		w.log.line("client %s: POST %s%s (%d bytes) at %s: %d %s %v", j.tenant.name, j.queue.prefix(), j.id, len(body), v.name, status, text, errText(err))
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("job %s is not accepted", j.id)
}

// submitJob is submit for a job that may have occurrences.
func (w *world) submitJob(j *job) (*job, error) {
	w.lastJob++
	j.id = fmt.Sprintf("%016x", 0xabc0000+w.lastJob)
	q, t := j.queue, j.tenant
	text := map[string]any{"spec": j.spec, "steps": j.steps}
	if j.repeat > 0 {
		text["repeat_count"], text["start_at_ms"], text["interval_ms"] = j.repeat, j.start.UnixMilli(), time.Minute.Milliseconds()
	}
	body, _ := json.Marshal(text)
	for n := range 20 {
		v := w.vms[n%len(w.vms)]
		status, text, err := w.call(v, http.MethodPost, q.prefix()+j.id, t, body)
		w.log.line("client %s: POST %s%s %s at %s: %d %s %v", t.name, q.prefix(), j.id, body, v.name, status, text, errText(err))
		if status/100 == 2 {
			j.accepted = time.Now()
			return j, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil, fmt.Errorf("job %s is not accepted", j.id)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state asks for the state of a job.
func (w *world) state(j *job) string {
	for _, v := range w.vms {
		if status, text, err := w.call(v, http.MethodGet, j.queue.prefix()+j.id, j.tenant, nil); err == nil {
			return fmt.Sprintf("%d %s", status, text)
		}
	}
	return "no answer"
}

// runs returns the records of the runs of a job's tasks.
func (w *world) runs(j *job) []runnerstandin.RunRecord {
	var out []runnerstandin.RunRecord
	for _, e := range w.executors {
		for _, r := range e.RunRecords() {
			if string(r.Task.Job) == j.id {
				out = append(out, r)
			}
		}
	}
	return out
}

// begun returns the number of tasks of a job that have begun, and of those that run now.
func (w *world) begun(j *job) (begun, running int) {
	tasks := map[string]bool{}
	for _, r := range w.runs(j) {
		tasks[r.Task.String()] = true
		if r.Ended.IsZero() {
			running++
		}
	}
	return len(tasks), running
}

// inUse returns the accelerators and the thousandths of a core that jobs occupy.
func (w *world) inUse(jobs ...*job) (gpu, cpu int) {
	for _, j := range jobs {
		for _, r := range w.runs(j) {
			if r.Ended.IsZero() {
				gpu += j.steps[r.Task.Step].GPU
				cpu += j.steps[r.Task.Step].CPU
			}
		}
	}
	return gpu, cpu
}

// note writes the runs of a job by executor to the record.
func (w *world) note(j *job) {
	n := 0
	for _, e := range w.executors {
		var list []string
		for _, r := range e.RunRecords() {
			if string(r.Task.Job) != j.id {
				continue
			}
			n++
			end := "runs"
			if !r.Ended.IsZero() {
				end = fmt.Sprintf("%s at %.2f", r.Outcome, r.Ended.Sub(w.log.began).Seconds())
			}
			list = append(list, fmt.Sprintf("%s run %d from %.2f: %s", r.Task, r.Run, r.Started.Sub(w.log.began).Seconds(), end))
		}
		if len(list) > 8 {
			list = append(list[:8], fmt.Sprintf("and %d more", len(list)-8))
		}
		if len(list) > 0 {
			w.log.line("executor %s in %s: %s", e.info.ID, e.info.Domain, strings.Join(list, "; "))
		}
	}
	w.log.line("job %s: %d runs, state %s", j.id, n, w.state(j))
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// trouble reports whether the case includes its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	log := &record{file: file, began: time.Now()}
	v, err := cases[os.Args[1]](log)
	switch {
	case err != nil:
		log.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case v.broken:
		log.line("BROKEN: %s", v.text)
		fmt.Println("BROKEN:", v.text)
		os.Exit(1)
	default:
		log.line("held: %s", v.text)
		fmt.Println("held:", v.text)
	}
}
