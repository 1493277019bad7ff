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

// fakePeers refuses submissions to the failure domains in refusals.
type fakePeers struct {
	refusals map[model.FailureDomain]error
	got      []message.Forward
}

func (*fakePeers) Start(*kernel.Context) error { return nil }
func (*fakePeers) Drain(c *kernel.Context)     { c.Drained() }
func (p *fakePeers) Handle(_ *kernel.Context, e kernel.Envelope) {
	f := e.Body.(message.Forward)
	p.got = append(p.got, f)
	if err := p.refusals[f.Domain]; err != nil {
		e.Fail(err)
		return
	}
	e.Reply(message.JobReply{Job: model.Job{Domain: f.Domain}})
}

// route runs one submission at a, which is out, and returns the deliveries.
func route(t *testing.T, p *fakePeers, spec model.JobSpec) []message.Forward {
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
	return p.got
}

// TestRefusedElsewhere guards against a submission that runs twice, because it was tried in another failure domain
// although the first may have accepted it, against one that ends although another failure domain takes it, and
// against a key that leaves its home, so that a repeated submission does not find the first one.
func TestRefusedElsewhere(t *testing.T) {
	full := failure.New(failure.QueueFull, "test")
	for name, c := range map[string]struct {
		refusal error
		key     string
		want    []model.FailureDomain
	}{
		"accepted":      {nil, "", []model.FailureDomain{"b"}},
		"queue full":    {full, "", []model.FailureDomain{"b", "c"}},
		"maybe run":     {full.WithOutcome(failure.Unknown), "", []model.FailureDomain{"b"}},
		"everywhere so": {failure.New(failure.UnknownAccount, "test"), "", []model.FailureDomain{"b"}},
		"key":           {full, "k", []model.FailureDomain{""}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePeers{refusals: map[model.FailureDomain]error{c.want[0]: c.refusal}}
				var asked []model.FailureDomain
				for _, f := range route(t, p, model.JobSpec{Tasks: 1, GPUsPerTask: 8, Key: c.key}) {
					if asked = append(asked, f.Domain); f.Key != c.key || f.Idempotent != (c.key != "") {
						t.Errorf("delivery %+v", f)
					}
				}
				if !slices.Equal(asked, c.want) {
					t.Errorf("asked %v", asked)
				}
			})
		})
	}
}
