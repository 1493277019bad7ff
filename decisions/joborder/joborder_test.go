package joborder

import (
	"slices"
	"testing"
	"time"
)

var now = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// candidates holds candidates by name, one for each case that the order distinguishes.
var candidates = map[string]*Candidate{
	"large in time": {Class: PartlyGuaranteed + 1, Arrived: at(-500), LatestStart: at(200), Expiry: at(5000), Work: 900},
	"small in time": {Class: PartlyGuaranteed + 1, Arrived: at(-100), LatestStart: at(900), Expiry: at(5000), Work: 10},
	"over share":    {Class: PartlyGuaranteed + 1, OverShare: true, Arrived: at(-100), LatestStart: at(100), Expiry: at(5000), Work: 10},
	"small late":    {Class: PartlyGuaranteed + 1, Arrived: at(-3000), LatestStart: at(-100), Expiry: at(2000), Work: 5},
	"large late":    {Class: PartlyGuaranteed + 1, Arrived: at(-4000), LatestStart: at(-900), Expiry: at(2000), Work: 500},
	"small expired": {Class: PartlyGuaranteed + 1, Arrived: at(-9000), LatestStart: at(-6000), Expiry: at(-1), Work: 1},
	"lower class":   {Class: PartlyGuaranteed + 2, Arrived: at(-9999), LatestStart: at(1), Expiry: at(9000), Work: 0.5},
	"excess":        {Class: PartlyGuaranteed + 1, Excess: true, Arrived: at(-100), LatestStart: at(100), Expiry: at(9000), Work: 0.1},
	"guaranteed":    {Class: Guaranteed, Arrived: at(-9999), LatestStart: at(-6000), Expiry: at(-2), Work: 700},
	"partly":        {Class: PartlyGuaranteed, OverShare: true, Excess: true, Arrived: at(-9999), LatestStart: at(-6000), Expiry: at(-2), Work: 900},
}

// TestInTimeFirst guards against an order that puts late work before work that can still be in time, large late work
// before small, a lower priority before a higher one, work without credit before other work, work of an account over its share before that of others, or work beyond the rate of
// its account before that of others. Work that can reclaim capacity always comes first.
func TestInTimeFirst(t *testing.T) {
	want := []string{"guaranteed", "partly", "large in time", "small in time", "over share", "small late", "large late", "lower class", "small expired", "excess"}
	got := make([]string, 0, len(candidates))
	for n := range candidates {
		got = append(got, n)
	}
	slices.SortFunc(got, func(a, b string) int { return InTimeFirst(now, candidates[a], candidates[b]) })
	if !slices.Equal(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}
