package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/verbenaflow/verbenaflow/api/workload"
)

// outputPipeBytes is the size of the pipes that take the output of daemons, the smallest that Linux offers.
const outputPipeBytes = 4096

// outputPipe takes the standard output and the standard error of a VM's daemon.
type outputPipe struct{ r, w *os.File }

// newOutputPipe returns a pipe that is full.
func newOutputPipe(t *testing.T) outputPipe {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close(); w.Close() })
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, outputPipeBytes); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(append(bytes.Repeat([]byte("x"), outputPipeBytes-1), '\n')); err != nil {
		t.Fatal(err)
	}
	return outputPipe{r, w}
}

// redirectOutput restarts the daemons of all VMs with pipes as their output, which readers get.
func (f *fleet) redirectOutput(read func(outputPipe)) {
	f.t.Helper()
	for _, v := range f.vms {
		p := newOutputPipe(f.t)
		read(p)
		_ = f.stop(v, syscall.SIGTERM)
		v.output = p.w
		f.start(v)
	}
	for _, v := range f.vms {
		f.eventually(v.name+" answers", func() bool {
			r, err := f.client(v).JobState(context.Background(), "ffffffffffffffff")
			return err == nil && r.Status == http.StatusGone
		})
	}
	f.awaitReady()
}

// pauseReaders restarts the daemons of all VMs with pipes as their output, whose readers pause at random. What they read
// goes to the logs of the VMs.
func (f *fleet) pauseReaders(seed uint64) {
	f.t.Helper()
	readers := uint64(0)
	f.redirectOutput(func(p outputPipe) {
		readers++
		r := rand.New(rand.NewPCG(seed, 1000+readers))
		log, err := os.OpenFile(f.vms[readers-1].logFile, os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { log.Close() })
		go func() {
			for buf := make([]byte, outputPipeBytes); ; {
				n, err := p.r.Read(buf)
				if err != nil {
					return
				}
				_, _ = log.Write(buf[:n])
				if r.IntN(20) == 0 {
					time.Sleep(time.Duration(r.Int64N(int64(maxFaultDuration))))
				}
			}
		}()
	})
}

// logCounters are the counters of a daemon's log lines by level.
type logCounters struct {
	Written, Lost map[string]int64
}

func (f *fleet) logCounters(v *vm) logCounters {
	f.t.Helper()
	resp, err := f.http.Get("http://" + v.adminAddress + "/debug/vars")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Lines logCounters `json:"log_lines"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		f.t.Fatal(err)
	}
	return vars.Lines
}

// submitOnce submits a job to a VM and fails the test unless the first attempt is accepted in time.
func (f *fleet) submitOnce(v *vm) workload.JobID {
	f.t.Helper()
	j := job(f.newID(), 2, 50*time.Millisecond, false)
	if r, err := f.client(v).Submit(context.Background(), j); err != nil || r.Status != http.StatusOK {
		f.t.Fatalf("submission to %s: status %d, %v", v.name, r.Status, err)
	}
	return j.ID
}

// TestOutputNotRead guards against daemons that stand still or end because nobody reads their standard output and
// standard error, which are one full pipe from the start of the process to its end.
func TestOutputNotRead(t *testing.T) {
	stopped := func(outputPipe) {}
	closed := func(p outputPipe) { p.r.Close() }
	slow := func(p outputPipe) {
		go func() {
			for buf := make([]byte, 16); ; time.Sleep(20 * time.Millisecond) {
				if _, err := p.r.Read(buf); err != nil {
					return
				}
			}
		}()
	}
	for _, c := range []struct {
		name   string
		reader func(outputPipe)
	}{{"stopped", stopped}, {"closed", closed}, {"slow", slow}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 3, 4)
			f.awaitReady()
			f.redirectOutput(c.reader)
			var jobs []workload.JobID
			for i := range 60 {
				jobs = append(jobs, f.submitOnce(f.vms[i%len(f.vms)]))
			}
			for _, id := range jobs {
				f.awaitState(id, workload.StateCompleted)
			}
			for id, n := range f.checkExecutors() {
				if n > 2 {
					t.Errorf("job %s: %d runs of 2 tasks", id, n)
				}
			}
			for _, v := range f.vms {
				p := v.process()
				// Each refused call is a log line, so that the lines exceed any bound on those that wait.
				client := f.client(v)
				client.APIKey = "unknown"
				for end := time.Now().Add(waitLimit); f.logCounters(v).Lost["info"] == 0 && time.Now().Before(end); {
					for range 500 {
						if _, err := client.JobState(context.Background(), jobs[0]); err != nil {
							t.Fatal(err)
						}
					}
				}
				if f.logCounters(v).Lost["info"] == 0 {
					t.Errorf("%s counts no lost lines", v.name)
				}
				if p != v.process() {
					t.Errorf("%s was replaced", v.name)
				}
			}
			for _, v := range f.vms {
				began := time.Now()
				if err := f.stop(v, syscall.SIGTERM); err != nil {
					t.Errorf("%s: %v", v.name, err)
				}
				if took := time.Since(began); took > 4*time.Second {
					t.Errorf("%s took %v to shut down, longer than the grace period", v.name, took)
				}
				f.start(v)
			}
		})
	}
}

// TestOutputReadAgain guards against a reader that is not told how many lines were lost while it did not read, and
// against lines that are lost although they are read.
func TestOutputReadAgain(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.awaitReady()
	v := f.vms[0]
	var pipe outputPipe
	f.redirectOutput(func(p outputPipe) { pipe = p })
	client := f.client(v)
	client.APIKey = "unknown"
	for end := time.Now().Add(waitLimit); f.logCounters(v).Lost["info"] == 0 && time.Now().Before(end); {
		for range 500 {
			if _, err := client.JobState(context.Background(), "0000000000000001"); err != nil {
				t.Fatal(err)
			}
		}
	}
	text := make(chan []byte, 1)
	go func() {
		all, _ := io.ReadAll(pipe.r)
		text <- all
	}()
	f.eventually("the lines that waited are written", func() bool {
		c := f.logCounters(v)
		return c.Written["warning"] > 0
	})
	lost := f.logCounters(v).Lost["info"]
	id := f.submitOnce(v)
	if err := f.stop(v, syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	v.output = nil
	f.start(v)
	pipe.w.Close()
	var reports, accepted, stopped int
	var reported int64
	for line := range bytes.Lines(<-text) {
		var l struct {
			Msg, Job string
			Info     int64
		}
		if err := json.Unmarshal(line, &l); err != nil && line[0] != 'x' {
			t.Fatalf("not a log line: %q", line)
		}
		switch {
		case l.Msg == "log lines lost":
			reports++
			reported += l.Info
		case l.Msg == "job accepted" && l.Job == string(id):
			accepted++
		case l.Msg == "stopped":
			stopped++
		}
	}
	if lost == 0 || reports != 1 || reported != lost {
		t.Errorf("%d lines reported as lost in %d lines, want %d in one", reported, reports, lost)
	}
	if accepted != 1 || stopped != 1 {
		t.Errorf("%d lines about the accepted job and %d about the end, want one each", accepted, stopped)
	}
}
