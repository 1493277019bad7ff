package routing

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/metrics"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// fakePeers accepts submissions, except to the failure domains in refusals, and records them.
type fakePeers struct {
	refusals map[model.FailureDomain]error
	forwards []message.Forward
}

func (*fakePeers) Start(*kernel.Context) error { return nil }
func (*fakePeers) Drain(c *kernel.Context)     { c.CompleteDrain() }
func (p *fakePeers) Handle(_ *kernel.Context, e kernel.Envelope) {
	f := e.Body.(message.Forward)
	p.forwards = append(p.forwards, f)
	if err := p.refusals[f.Domain]; err != nil {
		e.Fail(err)
		return
	}
	e.Reply(message.JobReply{Job: model.Job{Domain: f.Domain}})
}

// routeJob submits one job at a VM of failure domain a, which is out of service, and returns the forwarded submissions.
func routeJob(t *testing.T, p *fakePeers, spec model.JobSpec) []message.Forward {
	t.Helper()
	k, err := kernel.New(nil, kernel.Spec{Name: names.Peers, Service: p},
		New(model.Member{Domain: "a", Region: "r"}, metrics.New()).Spec())
	if err != nil {
		t.Fatal(err)
	}
	stop, err := k.Start()
	if err != nil {
		t.Fatal(err)
	}
	loads := message.LoadsChanged{Loads: []model.DomainLoad{{Domain: "a", Region: "r", Out: true, GPUs: 16}}}
	for _, d := range []model.FailureDomain{"b", "c"} {
		loads.Loads = append(loads.Loads, model.DomainLoad{Domain: d, Region: "r", Starts: true, GPUs: 16, FreeGPUs: 16, FreeWorkers: 2, Heard: time.Now()})
	}
	_ = k.Send(names.Routing, loads)
	_, _ = k.Call(t.Context(), names.Routing, message.JobRoute{Spec: spec, Deadline: time.Now().Add(10 * time.Second)})
	_ = stop(nil)
	return p.forwards
}

// TestRefusedElsewhere guards against a job that runs twice because its submission was retried in another failure
// domain although the first may have accepted it, against a submission that fails although another failure domain would
// accept it, and against a submission with a key that is sent to another failure domain than the home of the key, so
// that a repeated submission does not find the first one.
func TestRefusedElsewhere(t *testing.T) {
	full := failure.New(failure.QueueFull, "test")
	for name, c := range map[string]struct {
		refusal error
		key     string
		want    []model.FailureDomain
	}{
		"accepted":        {nil, "", []model.FailureDomain{"b"}},
		"queue full":      {full, "", []model.FailureDomain{"b", "c"}},
		"outcome unknown": {full.WithOutcome(failure.Unknown), "", []model.FailureDomain{"b"}},
		"not retryable":   {failure.New(failure.UnknownAccount, "test"), "", []model.FailureDomain{"b"}},
		"key":             {full, "k", []model.FailureDomain{""}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePeers{refusals: map[model.FailureDomain]error{c.want[0]: c.refusal}}
				var targets []model.FailureDomain
				for _, f := range routeJob(t, p, model.JobSpec{Tasks: 1, GPUsPerTask: 8, Key: c.key}) {
					if targets = append(targets, f.Domain); f.Key != c.key || f.Idempotent != (c.key != "") {
						t.Errorf("key or idempotence of the forwarded submission is wrong: %+v", f)
					}
				}
				if !slices.Equal(targets, c.want) {
					t.Errorf("submission was sent to %v", targets)
				}
			})
		})
	}
}
