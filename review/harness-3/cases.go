package main

import (
	"fmt"
	"strings"
	"time"

	runnerstandin "github.com/verbenaflow/verbenaflow/standins/runner"
)

var cases = map[string]func(*record) (verdict, error){
	"cpu-only":  cpuOnly,
	"zone-out":  zoneOut,
	"advice":    slowAdvice,
	"spread":    spread,
	"recurring": recurring,
	"slow-link": slowLink,
}

const reclaimTime = 2900 * time.Millisecond

var (
	urgent = queue{name: "confirm", priority: 0}
	normal = queue{name: "replan", priority: 1}
	batch  = queue{name: "crew", priority: 2}
	// guarantees share out 0.62 of the accelerators of the fleet (238 of 384), as the site files do.
	tenants4 = []tenant{{"alfa", 60}, {"beta", 60}, {"gama", 59}, {"delta", 59}}
)

// checkReclaim submits a guaranteed job and checks that all its tasks begin in time.
func (w *world) checkReclaim(j *job, watch time.Duration) verdict {
	want := 0
	for _, s := range j.steps {
		want += s.Count
	}
	time.Sleep(time.Until(j.accepted.Add(reclaimTime)))
	inTime, _ := w.begun(j)
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n, _ := w.begun(j); n == want {
			break
		}
	}
	n, _ := w.begun(j)
	w.note(j)
	return verdict{inTime < want, fmt.Sprintf("%d of %d tasks of the guaranteed job had begun %d ms after its acknowledgement, %d of %d %.1f s after it", inTime, want, reclaimTime.Milliseconds(), n, want, time.Since(j.accepted).Seconds())}
}

// cpuOnly: tasks without accelerators of one tenant take all cores, and guaranteed work of another can't begin.
func cpuOnly(log *record) (verdict, error) {
	w, err := newWorld(log, options{vmZones: zones, queues: []queue{urgent, normal, batch}, tenants: tenants4})
	defer w.close()
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		large, err := w.submit(urgent, tenants4[0], "60s", step{Count: 48, CPU: 32000, MemoryMB: 5700, EstimateMS: 60000})
		if err != nil {
			return verdict{}, err
		}
		time.Sleep(6 * time.Second)
		w.note(large)
	}
	j, err := w.submit(urgent, tenants4[1], "2500ms", step{Count: 8, CPU: 3700, MemoryMB: 7600, GPU: 1, EstimateMS: 2500})
	if err != nil {
		return verdict{}, err
	}
	return w.checkReclaim(j, 40*time.Second), nil
}

// spread: lasting tasks within a guarantee are spread over all executors and keep guaranteed work from a whole executor.
func spread(log *record) (verdict, error) {
	w, err := newWorld(log, options{vmZones: zones, queues: []queue{urgent, normal, batch}, tenants: tenants4})
	defer w.close()
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		if _, err := w.submit(batch, tenants4[2], "20s", step{Count: 48, CPU: 2800, MemoryMB: 5700, GPU: 7, EstimateMS: 20000}); err != nil {
			return verdict{}, err
		}
		time.Sleep(5 * time.Second)
	}
	lasting, err := w.submit(urgent, tenants4[0], runnerstandin.ServeSpec(300*time.Millisecond), step{Count: 48, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 60000, LongRunning: true, MayMiss: 1})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(25 * time.Second)
	w.note(lasting)
	j, err := w.submit(urgent, tenants4[1], "2500ms", step{Count: 1, CPU: 13000, MemoryMB: 19000, GPU: 8, EstimateMS: 2500})
	if err != nil {
		return verdict{}, err
	}
	return w.checkReclaim(j, 30*time.Second), nil
}

// zoneOut: while a zone is evacuated, lasting tasks that may be missed one at a time do not begin on an idle fleet.
func zoneOut(log *record) (verdict, error) {
	w, err := newWorld(log, options{vmZones: zones, queues: []queue{urgent, normal, batch}, tenants: tenants4})
	defer w.close()
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		w.store.Set("op/evacuate/"+zones[2], []byte("{}"))
		w.log.line("operator: zone %s is evacuated", zones[2])
	}
	time.Sleep(4 * time.Second)
	spec := runnerstandin.ServeSpec(300 * time.Millisecond)
	lasting := step{Count: 16, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 60000, LongRunning: true, MayMiss: 1}
	first, err := w.submit(normal, tenants4[0], spec, lasting)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	lasting.Count = 8
	second, err := w.submit(normal, tenants4[1], spec, lasting)
	if err != nil {
		return verdict{}, err
	}
	// 7 s without any change, then the 3 s of the rule.
	calm := second.accepted.Add(7 * time.Second)
	longest, since := time.Duration(0), time.Time{}
	for end := second.accepted.Add(35 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_, running := w.begun(second)
		switch {
		case running > 0:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Now().After(calm):
			longest = max(longest, time.Since(since))
		}
	}
	gpu, cpu := w.inUse(first, second)
	w.log.line("in use: %d of %d accelerators, %d of %d thousandths of a core of the two zones that are not evacuated", gpu, 2*executorsPerZone*gpus, cpu, 2*executorsPerZone*32000)
	w.note(first)
	w.note(second)
	begun, _ := w.begun(second)
	if trouble {
		w.store.Remove("op/evacuate/" + zones[2])
		w.log.line("operator: zone %s is taken back", zones[2])
		time.Sleep(4 * time.Second)
		after, _ := w.begun(second)
		w.log.line("%d tasks of the second job have begun 4 s later", after)
	}
	return verdict{longest > 3*time.Second, fmt.Sprintf("%d of 8 tasks of the second job had begun after 35 s; nothing of it ran for %.1f s on end, with %d of 256 accelerators in use", begun, longest.Seconds(), gpu)}, nil
}

// slowAdvice: a queue whose policy takes over 2 s for 30 executors.
func slowAdvice(log *record) (verdict, error) {
	q := normal
	q.advice = &adviceConfig{DecideMS: 40, EachMS: 10, ValidMS: 5000}
	w, err := newWorld(log, options{vmZones: zones, queues: []queue{urgent, q, batch}, tenants: tenants4})
	defer w.close()
	if err != nil {
		return verdict{}, err
	}
	w.advisor.config = *q.advice
	if trouble {
		q.advice = &adviceConfig{DecideMS: 600, EachMS: 50, ValidMS: 5000}
		w.queues[1] = q
		w.advisor.mu.Lock()
		w.advisor.config = *q.advice
		w.advisor.mu.Unlock()
		w.putConfig(3)
	}
	time.Sleep(4 * time.Second)
	j, err := w.submit(q, tenants4[0], "2s", step{Count: 2, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 2000})
	if err != nil {
		return verdict{}, err
	}
	for end := j.accepted.Add(60 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n, _ := w.begun(j); n > 0 {
			break
		}
	}
	n, _ := w.begun(j)
	w.note(j)
	w.advisor.mu.Lock()
	defer w.advisor.mu.Unlock()
	return verdict{n == 0, fmt.Sprintf("%d of 2 tasks had begun %.1f s after the acceptance; the advisory service got %d calls and answered %d", n, time.Since(j.accepted).Seconds(), w.advisor.calls, w.advisor.answered)}, nil
}

// recurring: jobs with many occurrences, none of which is due, fill the memory of the holder.
func recurring(log *record) (verdict, error) {
	w, err := newWorld(log, options{vmZones: zones, queues: []queue{urgent, normal, batch}, tenants: tenants4, limitMemory: true})
	defer w.close()
	if err != nil {
		return verdict{}, err
	}
	n := 120
	if !trouble {
		n = 4
	}
	start := time.Now().Add(time.Hour)
	for i := range n {
		if _, err := w.submitJob(&job{queue: batch, tenant: tenants4[i%4], spec: "2s", repeat: 5000, start: start, steps: []step{{Count: 1, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 2000}}}); err != nil {
			w.log.line("%v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	for _, v := range w.vms {
		w.log.line("%s: %d starts, %d kills, peak %d MB", v.name, v.starts, v.killed, v.peak>>20)
	}
	j, err := w.submit(normal, tenants4[1], "2s", step{Count: 2, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 2000})
	if err != nil {
		return verdict{}, err
	}
	for end := j.accepted.Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n, _ := w.begun(j); n == 2 {
			break
		}
	}
	begun, _ := w.begun(j)
	w.note(j)
	killed := 0
	for _, v := range w.vms {
		w.log.line("%s: %d starts, %d kills, peak %d MB", v.name, v.starts, v.killed, v.peak>>20)
		killed += v.killed
	}
	return verdict{begun == 0, fmt.Sprintf("%d of 2 tasks had begun %.1f s after the acceptance; %d processes exceeded their memory", begun, time.Since(j.accepted).Seconds(), killed)}, nil
}

// slowLink: the holder loses power, and a VM with a link of 10 Mbit/s takes over while many jobs are stored.
func slowLink(log *record) (verdict, error) {
	w, err := newWorld(log, options{vmZones: zones, queues: []queue{urgent, normal, batch}, tenants: tenants4, slow: map[int]bool{1: true, 2: true}})
	defer w.close()
	if err != nil {
		return verdict{}, err
	}
	const n = 400
	// A duration of 1 s, written with 3,000 bytes.
	spec := "1s" + strings.Repeat("0h", 1499)
	for i := range n {
		body := &job{queue: batch, tenant: tenants4[i%4], spec: spec, steps: []step{{Count: 1, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 1000}}}
		if _, err := w.submitQuietly(w.vms[0], body); err != nil {
			return verdict{}, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	log.line("%d jobs with a spec of %d bytes are accepted", n, len(spec))
	time.Sleep(5 * time.Second)
	if trouble {
		w.powerOff(w.vms[0], 3500*time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	j, err := w.submit(normal, tenants4[1], "2s", step{Count: 2, CPU: 2800, MemoryMB: 5700, GPU: 1, EstimateMS: 2000})
	if err != nil {
		return verdict{}, err
	}
	for end := j.accepted.Add(40 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n, _ := w.begun(j); n == 2 {
			break
		}
	}
	begun, _ := w.begun(j)
	w.note(j)
	return verdict{begun == 0, fmt.Sprintf("%d of 2 tasks had begun %.1f s after the acceptance", begun, time.Since(j.accepted).Seconds())}, nil
}
