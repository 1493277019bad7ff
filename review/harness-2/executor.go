package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// heartbeatSpread is the time between the heartbeats of two executors.
	heartbeatSpread = 400 * time.Millisecond
	holdMax         = 10 * time.Second
	stopTime        = 100 * time.Millisecond
	maxHoldWait     = 2 * time.Second
	maxEndsPage     = 500
	runTick         = 10 * time.Millisecond
	full            = 100
)

// executor is a stand-in for one executor, with 32 cores, 64 GB and 8 GPUs unless set otherwise. A spec "work MS" ends as
// done after that time; a spec "serve MS" is at work after a startup of that time and runs until it is stopped. A spec "save MS
// BYTES" is "work MS" with checkpoints of that size.
type executor struct {
	rec     *record
	store   *store
	id      string
	service string
	zone    string
	rack    string
	cpu     int
	mem     int
	gpu     int

	// advisor, if not nil, issues the tickets that starts of the job advised need.
	advisor *advisor
	advised string

	listener net.Listener
	server   *http.Server
	booted   time.Time
	stop     chan struct{}

	mu       sync.Mutex
	changed  chan struct{}
	seq      int64
	fence    int64
	deadline time.Duration
	runs     []*run
	ended    []runEnd
	lastEnd  int64
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[string]int64
	history []*run
	gone    bool
}

type run struct {
	executor string
	task     string
	number   int64
	started  time.Time
	work     time.Duration
	serve    bool
	// saved is the checkpoint.
	saved  string
	stopAt time.Time
	ended  time.Time
	how    string
	// noted is when the end was taken note of, zero before.
	noted time.Time
	end   int64
}

type runEnd struct {
	number int64
	run    *run
}

func (r *run) percent(now time.Time) int {
	if r.work <= 0 {
		return full
	}
	return int(min(full, full*now.Sub(r.started)/r.work))
}

// atWork reports whether a task that lasts has finished its startup and runs at a time.
func (r *run) atWork(now time.Time) bool {
	return now.Sub(r.started) >= r.work && (r.ended.IsZero() || now.Before(r.ended))
}

func newExecutor(rec *record, st *store, id, service, zone, rack string) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{
		rec: rec, store: st, id: id, service: service, zone: zone, rack: rack, cpu: 32000, mem: 65536, gpu: 8,
		listener: l, booted: time.Now(), stop: make(chan struct{}), changed: make(chan struct{}), highest: map[string]int64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /verbenaflow/run-start", e.order(e.serveStart))
	mux.HandleFunc("POST /verbenaflow/run-stop", e.order(e.serveStop))
	mux.HandleFunc("POST /verbenaflow/pace", e.order(e.servePace))
	mux.HandleFunc("POST /verbenaflow/hold", e.order(e.serveHold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	go e.tick()
	e.register()
	return e, nil
}

func (e *executor) clock() time.Duration { return time.Since(e.booted) + time.Millisecond }

func (e *executor) register() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": e.cpu, "mem_mb": e.mem, "gpu": e.gpu}, "labels": []string{"a", e.rack},
		"clock_ms": e.clock().Milliseconds(), "seq": e.seq, "born": e.booted.UnixMilli(),
	}
	gone := e.gone
	e.mu.Unlock()
	if !gone {
		e.store.set("servers/"+e.id, entry)
	}
}

// started counts the executors, whose heartbeats are spread over the interval.
var started atomic.Int64

func (e *executor) tick() {
	t, beat := time.NewTicker(runTick), time.NewTicker(heartbeat)
	defer t.Stop()
	defer beat.Stop()
	phase := time.AfterFunc(time.Duration(started.Add(1))*heartbeatSpread%heartbeat, func() { beat.Reset(heartbeat) })
	defer phase.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-beat.C:
			e.store.mu.Lock()
			busy := e.store.busy
			e.store.mu.Unlock()
			if !busy {
				e.register()
			}
		case now := <-t.C:
			e.advance(now)
		}
	}
}

func (e *executor) advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range slices.Clone(e.runs) {
		switch {
		case e.clock() > e.deadline:
			e.endRun(r, now, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.endRun(r, now, "stopped")
		case !r.serve && r.stopAt.IsZero() && now.Sub(r.started) >= r.work:
			e.endRun(r, now, "done")
		}
	}
}

// endRun lists the end of a run. The caller holds the lock.
func (e *executor) endRun(r *run, now time.Time, how string) {
	e.runs = slices.DeleteFunc(e.runs, func(o *run) bool { return o == r })
	e.lastEnd++
	r.ended, r.how, r.end = now, how, e.lastEnd
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.ended = append(e.ended, runEnd{e.lastEnd, r})
	e.rec.line("executor %s: task %s run %d ends %s", e.id, r.task, r.number, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// leave ends everything at once and takes the executor away.
func (e *executor) leave() {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.gone = true
	now := time.Now()
	for _, r := range e.runs {
		r.ended, r.how = now, "terminated"
		e.rec.line("executor %s: task %s run %d is terminated", e.id, r.task, r.number)
	}
	e.runs = nil
	e.mu.Unlock()
	close(e.stop)
	e.server.Close()
	e.store.remove("servers/" + e.id)
}

// allRuns returns a copy of all runs so far.
func (e *executor) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, len(e.history))
	for i, r := range e.history {
		out[i] = *r
	}
	return out
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence"`
	SeenUpTo   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
	Ticket     string `json:"ticket"`
}

// order checks what all orders have in common: the instance and the fencing token.
func (e *executor) order(serve func(http.ResponseWriter, *http.Request, *orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in orderBody
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
			reply(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		e.mu.Lock()
		if in.Fence < e.fence {
			e.refuse(w, "fence")
			e.mu.Unlock()
			return
		}
		e.fence = in.Fence
		e.mu.Unlock()
		serve(w, r, &in)
	}
}

// refuse answers with 409. The caller holds the lock.
func (e *executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.booted.UnixMilli(), "reason": reason})
}

func (e *executor) accept(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.booted.UnixMilli()})
}

// extend applies a deadline, which never shortens and is limited. The caller holds the lock.
func (e *executor) extend(deadlineMS int64) {
	d := min(time.Duration(deadlineMS)*time.Millisecond, e.clock()+holdMax)
	e.deadline = max(e.deadline, d)
}

func (e *executor) serveStart(w http.ResponseWriter, _ *http.Request, in *orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if r.task == in.Task && r.number == in.Run {
			e.accept(w)
			return
		}
	}
	now := time.Now()
	r := &run{executor: e.id, task: in.Task, number: in.Run, started: now}
	words := strings.Fields(in.Spec + " 0 0")
	kind := words[0]
	n, err := strconv.Atoi(words[1])
	bytes, _ := strconv.Atoi(words[2])
	switch {
	case in.Run <= e.highest[in.Task]:
		e.extend(in.DeadlineMS)
		e.rec.line("executor %s: start of task %s run %d refused: old", e.id, in.Task, in.Run)
		e.refuse(w, "old")
		return
	case time.Duration(in.DeadlineMS)*time.Millisecond < e.clock():
		e.rec.line("executor %s: start of task %s run %d refused: late", e.id, in.Task, in.Run)
		e.refuse(w, "late")
		return
	case e.advisor != nil && strings.HasPrefix(in.Task, e.advised) && !e.advisor.valid(in.Ticket):
		e.rec.line("executor %s: start of task %s run %d refused: ticket", e.id, in.Task, in.Run)
		e.refuse(w, "ticket")
		return
	case err != nil || kind != "work" && kind != "serve" && kind != "save":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.work, r.serve, r.saved = time.Duration(n)*time.Millisecond, kind == "serve", strings.Repeat("c", bytes)
	e.extend(in.DeadlineMS)
	e.runs = append(e.runs, r)
	e.history = append(e.history, r)
	e.rec.line("executor %s: task %s run %d starts (%s)", e.id, in.Task, in.Run, in.Spec)
	e.accept(w)
}

func (e *executor) serveStop(w http.ResponseWriter, _ *http.Request, in *orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.highest[in.Task] = max(e.highest[in.Task], in.Run)
	for _, r := range e.runs {
		if r.task == in.Task && r.number == in.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			e.rec.line("executor %s: task %s run %d is told to stop", e.id, in.Task, in.Run)
		}
	}
	e.accept(w)
}

func (e *executor) servePace(w http.ResponseWriter, _ *http.Request, _ *orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accept(w)
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request, in *orderBody) {
	e.mu.Lock()
	if in.DeadlineMS > 0 {
		e.extend(in.DeadlineMS)
	}
	now := time.Now()
	e.ended = slices.DeleteFunc(e.ended, func(x runEnd) bool {
		if x.number > in.SeenUpTo {
			return false
		}
		x.run.noted = now
		return true
	})
	until := now.Add(min(time.Duration(in.WaitMS)*time.Millisecond, maxHoldWait))
	for len(e.ended) == 0 && time.Now().Before(until) {
		changed := e.changed
		e.mu.Unlock()
		t := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		e.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
	}
	defer e.mu.Unlock()
	now = time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, x := range e.runs {
		running = append(running, []any{x.task, x.number, x.saved, x.percent(now), 0})
	}
	for _, x := range e.ended[:min(len(e.ended), maxEndsPage)] {
		saved := x.run.saved
		if x.run.how == "done" {
			saved = ""
		}
		ended = append(ended, []any{x.number, x.run.task, x.run.number, x.run.how, saved})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.booted.UnixMilli(), "running": running, "ended": ended})
}

func (r *run) String() string {
	return fmt.Sprintf("task %s run %d on %s", r.task, r.number, r.executor)
}
