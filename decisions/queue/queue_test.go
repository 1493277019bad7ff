package queue

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOrder guards against urgent work behind other work, and against an account that is never served.
func TestOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start.Add(10 * time.Hour)
	cs := []Candidate{
		{Job: "busy", Share: 2, Rank: now},
		{Job: "aged", Share: 2, Rank: now.Add(-5 * AgeingPeriod / 2)},
		{Job: "idle", Share: 0, Rank: now},
		{Job: "urgent", Share: 3, Rank: now, Urgent: true},
	}
	Order(cs, now)
	g.Expect([]string{string(cs[0].Job), string(cs[1].Job), string(cs[2].Job), string(cs[3].Job)}).
		To(gomega.Equal([]string{"urgent", "aged", "idle", "busy"}))
}

// TestCorrection guards against estimates that follow single extreme jobs or leave their bounds.
func TestCorrection(t *testing.T) {
	g := gomega.NewWithT(t)
	var c Correction
	g.Expect(c.Estimate(time.Minute)).To(gomega.Equal(time.Minute))
	g.Expect(c.Estimate(0)).To(gomega.Equal(unknownRunTime))
	for range 20 {
		c.Observe(4*time.Minute, time.Minute)
	}
	for range 3 {
		c.Observe(1000*time.Hour, time.Minute)
	}
	c.Observe(time.Hour, 0)
	g.Expect(c.Estimate(time.Minute)).To(gomega.Equal(4 * time.Minute))
	for range 2 * window {
		c.Observe(1000*time.Hour, time.Minute)
	}
	g.Expect(c.Estimate(time.Minute)).To(gomega.Equal(maxRatio * time.Minute))
}

// TestDominant guards against a resource of unknown total that hides the others.
func TestDominant(t *testing.T) {
	gomega.NewWithT(t).Expect(Dominant([]int{1, 6, 9}, []int{4, 8, 0})).To(gomega.Equal(0.75))
}

// TestRank guards against short jobs that wait behind long ones, against a gang that is delayed like many small
// jobs, and against a long job that waits without a bound.
func TestRank(t *testing.T) {
	g := gomega.NewWithT(t)
	long, short := Rank(start, 2*time.Hour, 1), Rank(start.Add(time.Hour), time.Hour, 1)
	g.Expect(short.Before(long)).To(gomega.BeTrue())
	g.Expect(Rank(start, 2*time.Hour, 16)).To(gomega.Equal(start.Add(2 * time.Hour)))
	g.Expect(Rank(start, 1000*time.Hour, 128)).To(gomega.Equal(start.Add(maxRunTimeDelay)))
	g.Expect(Rank(start, -time.Hour, 0)).To(gomega.Equal(start))
}
