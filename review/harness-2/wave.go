package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

func init() { cases["wave"] = extendedWave }

// extendedWave lets the operator add a machine to a wave of upkeep that is in progress.
func extendedWave(w *world) (string, error) {
	if err := w.begin(0, 3, 3); err != nil {
		return "", err
	}
	order := func(machines ...string) {
		w.rec.line("operator: wave 1 of machines %s", strings.Join(machines, ", "))
		w.store.set("op/wave/1", map[string]any{"wave": 1, "machines": machines, "duration_s": 30, "cap": 1})
	}
	all := []string{"m-1", "m-2", "m-3"}
	if w.trouble {
		order(all[:2]...)
	} else {
		order(all...)
	}
	if err := wait(20*time.Second, "first upkeep", func() bool { return len(w.cloud.begins()) > 0 }); err != nil {
		return "", err
	}
	if w.trouble {
		order(all...)
	}
	isCompleted := func() bool { return strings.Contains(string(w.store.get("status/wave/1")), "completed") }
	if err := wait(60*time.Second, "wave completed", isCompleted); err != nil {
		return "", err
	}
	w.rec.line("status of the wave: %s", w.store.get("status/wave/1"))
	missed := func() []string {
		return slices.DeleteFunc(slices.Clone(all), func(m string) bool {
			return slices.ContainsFunc(w.cloud.begins(), func(b upkeepBegin) bool { return b.machine == m && b.wave == 1 })
		})
	}
	early := missed()
	if len(early) == 0 {
		return "", nil
	}
	time.Sleep(20 * time.Second)
	return fmt.Sprintf("wave 1 is reported as completed, and the upkeep of %s has not begun, nor 20 s later that of %s",
		strings.Join(early, ", "), strings.Join(missed(), ", ")), nil
}
