package holder

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenaflow/verbenaflow/api/records"
	"github.com/verbenaflow/verbenaflow/api/testseed"
	"github.com/verbenaflow/verbenaflow/api/workload"
	"github.com/verbenaflow/verbenaflow/platform/front"
	"github.com/verbenaflow/verbenaflow/platform/metastore"
)

func init() { testseed.SetFlags("100") }

// maxTxnBytes bounds a transaction as the client sends it; it must be transferred within the time limit of a call.
const maxTxnBytes = 3 << 20

// drawSubmission draws the body of a submission near one of the limits of a job.
func drawSubmission(t *rapid.T) []byte {
	type step map[string]any
	// A few characters take one byte in a submission and up to six in a record.
	text := func(max int) string {
		return strings.Repeat(rapid.SampledFrom([]string{"a", "<", "\x01", "\u2028", "\x7f"}).Draw(t, "text"), rapid.IntRange(0, max).Draw(t, "length"))
	}
	shape := rapid.SampledFrom([]struct{ steps, count, occurrences int }{
		{1, 20000, 0}, {1, 1, 10000}, {2, 1, 10000}, {5, 1, 4000}, {256, 1, 78}, {256, 78, 0}, {1, 94, 200}, {3, 7, 500}, {256, 1, 0}, {1, 1, 0},
	}).Draw(t, "shape")
	less := rapid.IntRange(1, 4).Draw(t, "fraction")
	var steps []step
	labels := rapid.Bool().Draw(t, "labels")
	for i := range shape.steps {
		s := step{
			"count": max(1, shape.count/less), "cpu": rapid.SampledFrom([]int{0, 1<<31 - 1}).Draw(t, "cpu"), "estimate_ms": 1e300, "checkpoint": true,
			"gang": rapid.IntRange(0, 9).Draw(t, "gang") == 0,
		}
		if labels {
			s["requires"], s["affinity"], s["image"] = text(256), text(256), text(256)
			after := make([]int, i)
			for k := range after {
				after[k] = k
			}
			s["after"] = after
		}
		steps = append(steps, s)
	}
	body, err := json.Marshal(map[string]any{"spec": text(4000), "steps": steps, "repeat_count": shape.occurrences / less, "start_at_ms": 2.5e14, "interval_ms": 1000})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// worstProgress returns the largest progress of a job: every unit has as many failed runs as are listed or is done, and a
// checkpoint of the given size.
func worstProgress(j *workload.Job, done func(unit int) bool, saved string) workload.Progress {
	p := workload.Progress{State: workload.StateRunning, MayRun: true, Begun: true}
	n := 0
	for occurrence := range j.OccurrenceCount() {
		for i := range j.Steps {
			s := p.Step(occurrence, i)
			for first := range j.Steps[i].Units() {
				if n++; done(n) {
					s.SetDone(first)
					continue
				}
				u := workload.UnitProgress{First: first, Earlier: workload.MaxEarlierFailures, Saved: saved}
				for k := range j.ListedFailures() {
					u.Failed = append(u.Failed, workload.MaxRunNumber-workload.RunNumber(k))
				}
				s.Units = append(s.Units, u)
			}
		}
	}
	return p
}

// TestLargestRecords guards against an accepted job with a record that the store does not take, whatever becomes of the
// job, and against a job of ordinary size that is refused.
func TestLargestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job, err := front.DecodeJob(drawSubmission(t))
		if err != nil {
			t.Skip(err)
		}
		job.ID, job.Account = "ffffffffffffffff", workload.Account(strings.Repeat("<", rapid.SampledFrom([]int{1, 300_000}).Draw(t, "account")))
		job.Route = workload.Route{Name: "q", Host: "h", Prefix: "/p/", MaxAttempts: rapid.SampledFrom([]int{0, 1, 3, 5, 1000}).Draw(t, "attempts")}
		value, err := records.EncodeJob(&job, metastore.MaxValueBytes)
		if err != nil {
			var tooLarge *records.JobTooLargeError
			if !errors.As(err, &tooLarge) || !strings.Contains(err.Error(), fmt.Sprint(metastore.MaxValueBytes)) {
				t.Fatalf("%v, want a *JobTooLargeError that names the limit", err)
			}
			units := 0
			for i := range job.Steps {
				units += job.Steps[i].Units() * job.OccurrenceCount()
			}
			if units <= 3000 && len(job.Account) == 1 && tooLarge.Record == "progress" {
				t.Fatalf("a job with %d units was refused: %v", units, err)
			}
			return
		}
		if len(value) > metastore.MaxValueBytes {
			t.Fatalf("%d bytes of a job", len(value))
		}
		every := rapid.SampledFrom([]int{1, 2, 100, 1 << 30}).Draw(t, "done")
		saved := strings.Repeat("<", rapid.SampledFrom([]int{0, 16, 4000}).Draw(t, "checkpoint"))
		p, _, err := records.EncodeProgress(worstProgress(&job, func(unit int) bool { return unit%every == 0 }, saved), metastore.MaxValueBytes)
		if err != nil {
			t.Fatal(err)
		}
		txn := metastore.Txn{
			Conditions: []metastore.Condition{{Key: records.HolderKey, Revision: 1 << 62}, {Key: records.SaveKey, Revision: 1 << 62}},
			Writes: []metastore.Write{
				{Key: records.ProgressKey(job.ID), Value: p}, {Key: records.RosterKey, Value: make([]byte, metastore.MaxValueBytes)}, {Key: records.SaveKey, Value: []byte("{}")},
			},
		}
		if n := metastore.EncodedTxnBytes(txn); n > maxTxnBytes {
			t.Fatalf("%d bytes of a transaction, want at most %d", n, maxTxnBytes)
		}
	})
}
