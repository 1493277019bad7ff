package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is upkeep_s of dvorak-slots.
const upkeepTime = 2 * time.Second

// cloud is a stand-in for the machine service. An executor is one life of a machine.
type cloud struct {
	p        *platform
	mu       sync.Mutex
	machines []*machine
	// late decides whether an order gets no answer and is carried out after the given time; nil means no order.
	late func(o upkeepOrder) (time.Duration, bool)
}

type machine struct {
	id, state string
	executor  *executor
	lives     int
	fence     int64
	// begun holds when the upkeep of each wave began.
	begun map[int64]time.Time
}

type upkeepOrder struct {
	Machine string `json:"machine"`
	Wave    int64  `json:"wave"`
	fence   int64
	holder  string
}

// wave is an operator's entry.
type wave struct {
	Wave     int64    `json:"wave"`
	Machines []string `json:"machines"`
	Duration int      `json:"duration_s"`
	Cap      int      `json:"cap"`
}

func newCloud(p *platform) *cloud {
	c := &cloud{p: p}
	for i, e := range p.executors {
		c.machines = append(c.machines, &machine{id: fmt.Sprintf("m-%05x", 0xa3f1+i), state: "up", executor: e, begun: map[int64]time.Time{}})
	}
	return c
}

func (c *cloud) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /verbenaflow/machines", c.handleList)
	m.HandleFunc("POST /verbenaflow/machine-upkeep", c.handleUpkeep)
	return m
}

func (c *cloud) handleList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []any{}
	for _, m := range c.machines {
		e := m.executor
		list = append(list, map[string]any{
			"machine": m.id, "pool": service, "state": m.state, "zone": e.zone, "labels": []string{"a", e.rack},
			"capacity": map[string]any{"cpu": e.cpu, "mem_mb": 65536, "gpu": e.gpu}, "id": e.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

func (c *cloud) handleUpkeep(w http.ResponseWriter, r *http.Request) {
	var o upkeepOrder
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&o) != nil || err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	o.fence, o.holder = fence, r.Header.Get("Duty-Holder")
	c.mu.Lock()
	late := c.late
	c.mu.Unlock()
	if late != nil {
		if d, ok := late(o); ok {
			c.p.rec.add("machine service: the order for %s in wave %d gets no answer and is carried out %v later", o.Machine, o.Wave, d)
			time.AfterFunc(d, func() { c.carryOut(o) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := c.carryOut(o)
	out := map[string]any{}
	if reason != "" {
		out["reason"] = reason
	}
	reply(w, status, out)
}

// carryOut carries out an order and returns the status and the reason of the response.
func (c *cloud) carryOut(o upkeepOrder) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() {
		c.p.rec.add("machine service: order of %s (token %d) for %s in wave %d: %d %s", o.holder, o.fence, o.Machine, o.Wave, status, reason)
	}()
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.id == o.Machine })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m := c.machines[i]
	if o.fence < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = o.fence
	var w wave
	entry, _ := c.p.store.get(fmt.Sprintf("op/wave/%d", o.Wave))
	_ = json.Unmarshal(entry, &w)
	switch {
	case !m.begun[o.Wave].IsZero():
		return http.StatusOK, ""
	case !slices.Contains(w.Machines, m.id):
		return http.StatusConflict, "wave"
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.begun[o.Wave], m.state = time.Now(), "upkeep"
	c.p.rec.add("machine service: %s begins its upkeep of wave %d", m.id, o.Wave)
	m.executor.crash()
	time.AfterFunc(upkeepTime, func() { c.endUpkeep(m) })
	return http.StatusOK, ""
}

// endUpkeep starts the next executor of a machine.
func (c *cloud) endUpkeep(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := m.executor
	m.lives++
	c.p.store.remove("servers/" + old.id)
	e := newExecutor(fmt.Sprintf("%s-%d", old.id, m.lives), old.zone, old.rack, old.address, old.cpu, old.gpu, old.store, old.rec)
	e.registered, e.path = old.registered, old.path
	if err := e.start(); err != nil {
		c.p.rec.add("machine service: %s did not come up: %v", m.id, err)
		return
	}
	m.executor, m.state = e, "up"
}

// order writes an operator's entry for a wave.
func (c *cloud) order(w wave) {
	b, _ := json.Marshal(w)
	c.p.store.put(fmt.Sprintf("op/wave/%d", w.Wave), b)
	c.p.rec.add("operator: wave %d of %v, %d at once", w.Wave, w.Machines, w.Cap)
}

// completed reports whether a wave is said to be completed.
func (c *cloud) completed(n int64) bool {
	var status struct {
		State string `json:"state"`
	}
	b, _ := c.p.store.get(fmt.Sprintf("status/wave/%d", n))
	_ = json.Unmarshal(b, &status)
	return status.State == "completed"
}
