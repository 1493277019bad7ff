package records

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// earlierProgress, earlierStep and earlierUnit are the progress as builds before the limit of its size declare it.
type (
	earlierProgress struct {
		State  workload.State
		MayRun bool
		Begun  bool
		Steps  []earlierStep
	}
	earlierStep struct {
		Occurrence, Step int
		Done             []byte
		Units            []earlierUnit
	}
	earlierUnit struct {
		First  int
		Failed []workload.RunNumber
		Saved  string
	}
)

var (
	progress = workload.Progress{State: workload.StateRunning, MayRun: true, Begun: true, Steps: []workload.StepProgress{
		{Done: []byte{5}},
		{Occurrence: 3, Step: 1, Units: []workload.UnitProgress{{Failed: []workload.RunNumber{7}}, {First: 2, Saved: "c<"}}},
	}}
	progressOfEarlierBuild = earlierProgress{State: workload.StateRunning, MayRun: true, Begun: true, Steps: []earlierStep{
		{Done: []byte{5}},
		{Occurrence: 3, Step: 1, Units: []earlierUnit{{Failed: []workload.RunNumber{7}}, {First: 2, Saved: "c<"}}},
	}}
)

// TestProgressOfEarlierBuild guards against progress that another build misreads, in both directions, while the version of
// the VMs changes one after the other: a done task would start again.
func TestProgressOfEarlierBuild(t *testing.T) {
	var old earlierProgress
	if err := json.Unmarshal(Encode(progress), &old); err != nil || !reflect.DeepEqual(old, progressOfEarlierBuild) {
		t.Errorf("an earlier build reads %+v, %v", old, err)
	}
	now, err := Decode[workload.Progress]("k", Encode(progressOfEarlierBuild))
	if err != nil || !reflect.DeepEqual(now, progress) {
		t.Errorf("this build reads %+v, %v", now, err)
	}
}

// TestDropCheckpoints guards against a record over the limit, and against a failed run, a finished task or more
// checkpoints than necessary that are left out of it.
func TestDropCheckpoints(t *testing.T) {
	p := workload.Progress{State: workload.StateRunning, Steps: []workload.StepProgress{{Done: []byte{1}}, {Step: 1, Units: []workload.UnitProgress{
		{First: 0, Saved: strings.Repeat("a", 300)},
		{First: 1, Failed: []workload.RunNumber{9}, Saved: strings.Repeat("<", 100)},
		{First: 2, Saved: strings.Repeat("c", 200)},
	}}}}
	full := len(Encode(p))
	for limit, want := range map[int][]string{
		full:       {"a", "<", "c"},
		full - 1:   {"a", "", "c"},
		full - 700: {"", "", "c"},
		200:        {"", "", ""},
	} {
		value, dropped, err := EncodeProgress(p, limit)
		if err != nil || len(value) > limit {
			t.Errorf("limit %d: %d bytes, %v", limit, len(value), err)
		}
		got, err := Decode[workload.Progress]("k", value)
		if err != nil || !got.Steps[0].IsDone(0) {
			t.Errorf("limit %d: %+v, %v", limit, got, err)
		}
		saved, failed, missing := map[int]string{}, 0, 0
		for _, u := range got.Steps[1].Units {
			saved[u.First] = u.Saved
			failed += len(u.Failed)
		}
		for i, text := range want {
			if text == "" {
				missing++
			}
			if (saved[i] == "") != (text == "") {
				t.Errorf("limit %d: checkpoint %d has %d bytes, want some of %q", limit, i, len(saved[i]), text)
			}
		}
		if failed != 1 || dropped != missing {
			t.Errorf("limit %d: %d failed runs, %d checkpoints reported as left out, want 1 and %d", limit, failed, dropped, missing)
		}
	}
	if p.Steps[1].Units[1].Saved == "" {
		t.Error("the progress of the scheduler was changed")
	}
	var tooLarge *TooLargeError
	if _, _, err := EncodeProgress(p, 50); !errors.As(err, &tooLarge) {
		t.Errorf("%v, want a *TooLargeError", err)
	}
}

// TestProgressOfManyOccurrences guards against a record of a recurring job that takes memory for each occurrence that is
// done, and against one that an earlier build reads differently.
func TestProgressOfManyOccurrences(t *testing.T) {
	var want earlierProgress
	for occurrence := range 1000 {
		if occurrence != 400 {
			want.Steps = append(want.Steps, earlierStep{Occurrence: occurrence, Done: []byte{7}}, earlierStep{Occurrence: occurrence, Step: 1, Done: []byte{1}})
		}
	}
	want.Steps = append(want.Steps, earlierStep{Occurrence: 400, Step: 1, Units: []earlierUnit{{Failed: []workload.RunNumber{7}}}})
	p, err := Decode[workload.Progress]("k", Encode(want))
	if err != nil || len(p.Steps) != 5 {
		t.Fatalf("%d entries are held of the record, want 5: %+v, %v", len(p.Steps), p.Steps, err)
	}
	var got earlierProgress
	if err := json.Unmarshal(Encode(p), &got); err != nil {
		t.Fatal(err)
	}
	byOccurrence := func(a, b earlierStep) int { return cmp.Or(a.Occurrence-b.Occurrence, a.Step-b.Step) }
	slices.SortFunc(want.Steps, byOccurrence)
	slices.SortFunc(got.Steps, byOccurrence)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("an earlier build reads %d entries, want %d", len(got.Steps), len(want.Steps))
	}
}

// FuzzProgress guards against a record of another writer that ends the holder, and against one that changes when it is
// written again.
func FuzzProgress(f *testing.F) {
	f.Add(Encode(progress))
	f.Add([]byte(`{"Steps":[{"Occurrence":1,"Done":"AQ=="},{"Occurrence":2,"Done":"AQ=="},{"Occurrence":2}]}`))
	f.Add([]byte(`{"Steps":null}`))
	f.Add([]byte(`{"Steps":{"a":1},"State":5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode[workload.Progress]("k", data)
		if err != nil {
			return
		}
		again, err := Decode[workload.Progress]("k", Encode(p))
		if err != nil || !bytes.Equal(Encode(again), Encode(p)) {
			t.Fatalf("%q is read as %+v, written again as %+v, %v", data, p, again, err)
		}
	})
}
