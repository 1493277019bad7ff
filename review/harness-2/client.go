package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job, with the names of the protocol.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	MemMB       int  `json:"mem_mb"`
	GPU         int  `json:"gpu,omitempty"`
	EstimateMS  int  `json:"estimate_ms,omitempty"`
	Checkpoint  bool `json:"checkpoint,omitempty"`
	Gang        bool `json:"gang,omitempty"`
	LongRunning bool `json:"long_running,omitempty"`
	MayMiss     int  `json:"may_miss,omitempty"`
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// call makes one call of a client and notes it. The status is 0 if there was no answer.
func (w *world) call(method, prefix, id, key string, body any) (status int, answer map[string]any) {
	v := w.vms[len(w.vms)-1]
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+v.front+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := httpClient.Do(req)
	if err != nil {
		w.rec.line("client: %s %s%s at %s: no answer: %v", method, prefix, id, v.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(text, &answer)
	w.rec.line("client: %s %s%s %s at %s: %d %s", method, prefix, id, data, v.name, resp.StatusCode, text)
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (w *world) submit(prefix, id, key, spec string, steps ...step) error {
	return wait(10*time.Second, "job "+id+" accepted", func() bool {
		status, _ := w.call(http.MethodPost, prefix, id, key, map[string]any{"spec": spec, "steps": steps})
		return status/100 == 2
	})
}

// state returns the state of a job, or "" if there is none.
func (w *world) state(prefix, id, key string) string {
	_, answer := w.call(http.MethodGet, prefix, id, key, nil)
	s, _ := answer["state"].(string)
	return s
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }
