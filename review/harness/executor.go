package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the executors of dvorak-slots.
const (
	heartbeatEvery = 1500 * time.Millisecond
	maxHold        = 10 * time.Second
	stopTime       = 400 * time.Millisecond
	saveEvery      = time.Second
	restoreTime    = 600 * time.Millisecond
	maxEnds        = 500
	maxWait        = 2 * time.Second
	tick           = 5 * time.Millisecond
)

// run is one run of a task on an executor, and the record of it.
type run struct {
	executor string
	task     string
	number   int64
	started  time.Time
	ended    time.Time
	how      string
	// work is how long the task works, saved its latest checkpoint, saveBytes the length of its checkpoints.
	work      time.Duration
	fails     bool
	saved     string
	savedAt   time.Time
	saveBytes int
	stopAt    time.Time
	// done is the work that a checkpoint carried over.
	done time.Duration
	// end is the number of the entry in ended, notedAt when seen_upto reached it.
	end     int64
	notedAt time.Time
	// lapsedSince is set if the lease of the executor has lapsed since the end, before the end was taken note of.
	lapsedSince bool
}

// executor is a stand-in for an executor. It starts whatever it is told to start.
type executor struct {
	id, zone, rack string
	cpu, gpu       int
	// address is where it listens, registered the address of its entry: that of the path to it.
	address, registered string
	path                *proxy
	store               *store
	rec                 *recorder

	mu       sync.Mutex
	server   *http.Server
	boot     time.Time
	born     int64
	fence    int64
	deadline time.Time
	running  []*run
	ended    []*run
	lastEnd  int64
	highest  map[string]int64
	seq      int64
	up       bool
	endSeen  chan struct{}
	// failJob is a job of which the next run fails; empty for none.
	failJob string
	// history holds all runs of all lives.
	history []*run
}

func newExecutor(id, zone, rack, address string, cpu, gpu int, s *store, rec *recorder) *executor {
	return &executor{id: id, zone: zone, rack: rack, address: address, registered: address, cpu: cpu, gpu: gpu, store: s, rec: rec}
}

// start begins a life of the executor.
func (e *executor) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.boot = time.Now()
	e.born = e.boot.UnixMilli()
	e.fence, e.deadline, e.running, e.ended, e.lastEnd, e.seq = 0, time.Time{}, nil, nil, 0, 0
	e.highest, e.endSeen, e.up = map[string]int64{}, make(chan struct{}), true
	server := &http.Server{Handler: e.handler(e.born)}
	e.server = server
	born := e.born
	e.mu.Unlock()
	e.rec.add("executor %s: starts, born %d", e.id, born)
	go func() { _ = server.Serve(l) }()
	e.heartbeat(born)
	go func() {
		for range time.Tick(heartbeatEvery) {
			if !e.heartbeat(born) {
				return
			}
		}
	}()
	go func() {
		for now := range time.Tick(tick) {
			if !e.advance(now, born) {
				return
			}
		}
	}()
	return nil
}

// crash ends the process of the executor with all that runs there. The system resets its connections.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, r := range e.running {
		r.ended, r.how = now, "crashed"
		e.rec.add("executor %s: task %s run %d ends with its executor", e.id, r.task, r.number)
	}
	e.up, e.running = false, nil
	_ = e.server.Close()
	e.rec.add("executor %s: crashes", e.id)
}

func (e *executor) heartbeat(born int64) bool {
	e.mu.Lock()
	if !e.up || e.born != born {
		e.mu.Unlock()
		return false
	}
	e.seq++
	entry := map[string]any{
		"service": service, "address": e.registered, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": e.cpu, "mem_mb": 65536, "gpu": e.gpu}, "labels": []string{"a", e.rack},
		"clock_ms": e.clock(), "seq": e.seq, "born": e.born,
	}
	e.mu.Unlock()
	b, _ := json.Marshal(entry)
	e.store.put("servers/"+e.id, b)
	return true
}

// clock returns the executor's clock in milliseconds. The caller holds mu.
func (e *executor) clock() int64 { return time.Since(e.boot).Milliseconds() + 1 }

// at returns the time at which the executor's clock shows ms. The caller holds mu.
func (e *executor) at(ms int64) time.Time { return e.boot.Add(time.Duration(ms-1) * time.Millisecond) }

// advance ends runs whose work is done, that were stopped or whose lease has ended. It reports whether the life goes on.
func (e *executor) advance(now time.Time, born int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.born != born {
		return false
	}
	if now.After(e.deadline) {
		for _, r := range e.ended {
			r.lapsedSince = true
		}
	}
	for _, r := range append([]*run(nil), e.running...) {
		worked := now.Sub(r.started)
		if r.saveBytes > 0 && now.Sub(r.savedAt) >= saveEvery && worked >= saveEvery {
			r.save(now)
		}
		switch {
		case now.After(e.deadline):
			e.end(r, now, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			if r.saveBytes > 0 {
				r.save(now)
			}
			e.end(r, now, "stopped")
		case r.fails && worked >= r.work/10:
			e.end(r, now, "failed")
		case worked+r.done >= r.work:
			e.end(r, now, "done")
		}
	}
	return true
}

// save makes a checkpoint that begins with the work done so far.
func (r *run) save(now time.Time) {
	r.savedAt = now
	head := fmt.Sprintf("%016x", (now.Sub(r.started) + r.done).Milliseconds())
	r.saved = head + strings.Repeat("0", max(0, r.saveBytes-len(head)))
}

// end ends a run. The caller holds mu.
func (e *executor) end(r *run, now time.Time, how string) {
	for i := range e.running {
		if e.running[i] == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	e.lastEnd++
	r.ended, r.how, r.end = now, how, e.lastEnd
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.ended = append(e.ended, r)
	e.rec.add("executor %s: task %s run %d ends: %s", e.id, r.task, r.number, how)
	close(e.endSeen)
	e.endSeen = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	Checkpoint string `json:"checkpoint_data"`
	SeenUpTo   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

func (e *executor) handler(born int64) http.Handler {
	m := http.NewServeMux()
	serve := func(path string, f func(http.ResponseWriter, *http.Request, order)) {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				reply(w, http.StatusBadRequest, map[string]any{})
				return
			}
			if id := r.Header.Get("Expect-Instance"); id != "" && id != e.id {
				reply(w, http.StatusMisdirectedRequest, map[string]any{})
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.up || e.born != born {
				panic(http.ErrAbortHandler)
			}
			if o.Fence < e.fence {
				e.refuse(w, "fence")
				return
			}
			e.fence = o.Fence
			f(w, r, o)
		})
	}
	serve("/verbenaflow/run-start", e.handleStart)
	serve("/verbenaflow/run-stop", e.handleStop)
	serve("/verbenaflow/hold", e.handleHold)
	serve("/verbenaflow/pace", func(w http.ResponseWriter, _ *http.Request, _ order) { e.answer(w) })
	m.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", e.id) })
	return m
}

func (e *executor) answer(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born})
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "born": e.born, "reason": reason})
}

// extend moves the end of the lease, which is at most maxHold away.
func (e *executor) extend(ms int64) {
	at, last := e.at(ms), time.Now().Add(maxHold)
	if at.After(last) {
		at = last
	}
	if at.After(e.deadline) {
		e.deadline = at
	}
}

func (e *executor) handleStart(w http.ResponseWriter, _ *http.Request, o order) {
	for _, r := range e.running {
		if r.task == o.Task && r.number == o.Run {
			e.answer(w)
			return
		}
	}
	switch {
	case o.Run <= e.highest[o.Task]:
		e.extend(o.DeadlineMS)
		e.refuse(w, "old")
		return
	case o.DeadlineMS < e.clock():
		e.refuse(w, "late")
		return
	}
	e.extend(o.DeadlineMS)
	now := time.Now()
	r := &run{executor: e.id, task: o.Task, number: o.Run, started: now, savedAt: now, fails: e.failJob != "" && strings.HasPrefix(o.Task, e.failJob)}
	if r.fails {
		e.failJob = ""
	}
	var workMS, saveBytes int
	if _, err := fmt.Sscanf(o.Spec, "work %d ms, checkpoints of %d bytes", &workMS, &saveBytes); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.work, r.saveBytes = time.Duration(workMS)*time.Millisecond, saveBytes
	if o.Checkpoint != "" {
		var doneMS int64
		_, _ = fmt.Sscanf(o.Checkpoint[:16], "%x", &doneMS)
		r.done, r.saved = time.Duration(doneMS)*time.Millisecond-restoreTime, o.Checkpoint
	}
	e.running, e.history = append(e.running, r), append(e.history, r)
	e.rec.add("executor %s: task %s run %d starts (fence %d)", e.id, o.Task, o.Run, o.Fence)
	e.answer(w)
}

func (e *executor) handleStop(w http.ResponseWriter, _ *http.Request, o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	for _, r := range e.running {
		if r.task == o.Task && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime / 2)
			e.rec.add("executor %s: task %s run %d is told to stop", e.id, o.Task, r.number)
		}
	}
	e.answer(w)
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMS > 0 {
		e.extend(o.DeadlineMS)
	}
	for len(e.ended) > 0 && e.ended[0].end <= o.SeenUpTo {
		e.ended[0].notedAt = time.Now()
		e.ended = e.ended[1:]
	}
	deadline := time.After(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond))
	for waiting := o.WaitMS > 0; waiting && len(e.ended) == 0; {
		seen := e.endSeen
		e.mu.Unlock()
		select {
		case <-seen:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	running, ended := []any{}, []any{}
	for _, x := range e.running {
		percent := int(100 * min(1, (now.Sub(x.started)+x.done).Seconds()/x.work.Seconds()))
		running = append(running, []any{x.task, x.number, x.saved, percent, 1000})
	}
	for _, x := range e.ended[:min(maxEnds, len(e.ended))] {
		ended = append(ended, []any{x.end, x.task, x.number, x.how, x.saved})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born, "running": running, "ended": ended})
}

// runs returns a copy of the record of all runs.
func (e *executor) runs() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []run
	for _, r := range e.history {
		out = append(out, *r)
	}
	return out
}
