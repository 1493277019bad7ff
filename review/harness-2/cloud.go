package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const upkeepTime = 2 * time.Second

// cloud is a stand-in for the platform's machines. Each machine runs one executor at a time.
type cloud struct {
	rec *record
	// start starts the next executor of a machine.
	start func(m *machine) (*executor, error)

	mu       sync.Mutex
	machines []*machine
	begun    []upkeepBegin
}

type upkeepBegin struct {
	machine string
	wave    int64
	at      time.Time
}

type machine struct {
	name, zone, rack string
	up               bool
	executor         *executor
	lives            int
	fence            int64
	waves            map[int64]bool
}

// add adds a machine and starts its executor.
func (c *cloud) add(name, zone, rack string) (*machine, error) {
	m := &machine{name: name, zone: zone, rack: rack, up: true, waves: map[int64]bool{}}
	if err := c.boot(m); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, m)
	return m, nil
}

func (c *cloud) boot(m *machine) error {
	m.lives++
	e, err := c.start(m)
	m.executor = e
	return err
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /verbenaflow/machines", c.serveList)
	mux.HandleFunc("POST /verbenaflow/machine-upkeep", c.serveUpkeep)
	return mux
}

func (c *cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, m := range c.machines {
		state := "up"
		if !m.up {
			state = "upkeep"
		}
		list = append(list, map[string]any{
			"machine": m.name, "pool": serviceName, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.executor.cpu, "mem_mb": m.executor.mem, "gpu": m.executor.gpu}, "id": m.executor.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

func (c *cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name != in.Machine {
			continue
		}
		switch {
		case fence < m.fence:
			reply(w, http.StatusConflict, map[string]string{"reason": "fence"})
		case m.waves[in.Wave]:
			reply(w, http.StatusOK, struct{}{})
		case !m.up:
			reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		default:
			c.begin(m, in.Wave, r.Header.Get("Duty-Holder"))
			reply(w, http.StatusOK, struct{}{})
		}
		m.fence = max(m.fence, fence)
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

// begin takes a machine down. The caller holds the lock.
func (c *cloud) begin(m *machine, wave int64, holder string) {
	c.rec.line("platform: upkeep of machine %s for wave %d begins, ordered by %s", m.name, wave, holder)
	m.up, m.waves[wave] = false, true
	c.begun = append(c.begun, upkeepBegin{m.name, wave, time.Now()})
	m.executor.leave()
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if err := c.boot(m); err != nil {
			c.rec.line("platform: machine %s does not come back: %v", m.name, err)
			return
		}
		m.up = true
		c.rec.line("platform: machine %s is up again with executor %s", m.name, m.executor.id)
	})
}

// begins returns the upkeeps that have begun.
func (c *cloud) begins() []upkeepBegin {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]upkeepBegin(nil), c.begun...)
}

func executorID(m *machine) string { return fmt.Sprintf("i-%s-%d", m.name, m.lives) }
