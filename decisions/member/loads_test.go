package member_test

import (
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

// TestLoads guards against the load of an earlier holder or of one without recent heartbeats, a load without its
// failure domain, and a load that counts as a change of membership.
func TestLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	self := model.Member{VM: "v1", Domain: "a", Region: "r", Holder: model.Epoch{Store: 1}, Load: &model.DomainLoad{FreeGPUs: 1}}
	table := member.New(self, nil, 1)
	applyRemote := func(vm model.VMID, beat, epoch uint64, free int) member.Change {
		m := model.Member{VM: vm, Domain: "b", Region: "s", Alive: true, Holder: model.Epoch{Store: epoch}}
		update := model.MemberUpdate{VM: vm, Beat: beat, Member: &m, Load: &model.DomainLoad{FreeGPUs: free}}
		_, change := table.ApplyDigest(model.Digest{Updates: []model.MemberUpdate{update}}, now)
		return change
	}
	applyRemote("v2", 1, 3, 30)
	applyRemote("v3", 1, 2, 20)
	if applyRemote("v2", 2, 3, 31) != member.Unchanged {
		t.Error("a load alone counts as a change of membership")
	}
	got := table.Loads(now)
	want := []model.DomainLoad{{Domain: "a", Region: "r", FreeGPUs: 1, Heard: now}, {Domain: "b", Region: "s", FreeGPUs: 31, Heard: now}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("loads %+v, want %+v", got, want)
	}
	if got = table.Loads(now.Add(member.MaxLoadAge)); len(got) != 1 || got[0].Domain != "a" {
		t.Errorf("loads after the timeout of a holder: %+v", got)
	}
}

// TestLoadFeed guards against more than one publication a second, unnecessary publications of unchanged loads, a change
// that is not published, and loads that expire at their receivers.
func TestLoadFeed(t *testing.T) {
	var throttle member.LoadThrottle
	now := time.Unix(1000, 0)
	loads := func(free int) []model.DomainLoad {
		return []model.DomainLoad{{Domain: "a", FreeGPUs: free, Heard: now}}
	}
	for _, step := range []struct {
		after time.Duration
		loads []model.DomainLoad
		want  bool
	}{
		{0, nil, false},
		{0, loads(1), true},
		{900 * time.Millisecond, loads(2), false},
		{100 * time.Millisecond, loads(2), true},
		{2 * time.Second, loads(2), false},
		{2 * time.Second, loads(2), true},
		{time.Second, nil, true},
		{time.Minute, nil, false},
	} {
		now = now.Add(step.after)
		if got := throttle.ShouldPublish(step.loads, now); got != step.want {
			t.Errorf("%v: published %v, want %v", step, got, step.want)
		}
	}
}
