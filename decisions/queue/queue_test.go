package queue

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOrder guards against an urgent job behind other jobs, and against an account above its share that starves.
func TestOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	now := start.Add(10 * time.Hour)
	cs := []Candidate{
		{Job: "busy", Share: 2, RankTime: now},
		{Job: "aged", Share: 2, RankTime: now.Add(-5 * AgeingPeriod / 2)},
		{Job: "idle", Share: 0, RankTime: now},
		{Job: "urgent", Share: 3, RankTime: now, Urgent: true},
	}
	Sort(cs, now)
	g.Expect([]string{string(cs[0].Job), string(cs[1].Job), string(cs[2].Job), string(cs[3].Job)}).
		To(gomega.Equal([]string{"urgent", "aged", "idle", "busy"}))
}

// TestCorrection guards against estimates that follow single extreme jobs or exceed their bounds.
func TestCorrection(t *testing.T) {
	g := gomega.NewWithT(t)
	var c RunTimeCorrection
	g.Expect(c.Estimate(time.Minute)).To(gomega.Equal(time.Minute))
	g.Expect(c.Estimate(0)).To(gomega.Equal(defaultRunTime))
	for range 20 {
		c.Observe(4*time.Minute, time.Minute)
	}
	for range 3 {
		c.Observe(1000*time.Hour, time.Minute)
	}
	c.Observe(time.Hour, 0)
	g.Expect(c.Estimate(time.Minute)).To(gomega.Equal(4 * time.Minute))
	for range 2 * correctionWindow {
		c.Observe(1000*time.Hour, time.Minute)
	}
	g.Expect(c.Estimate(time.Minute)).To(gomega.Equal(maxCorrection * time.Minute))
}

// TestDominant guards against a resource of unknown total that prevents the others from being counted.
func TestDominant(t *testing.T) {
	gomega.NewWithT(t).Expect(DominantShare([]int{1, 6, 9}, []int{4, 8, 0})).To(gomega.Equal(0.75))
}

// TestRank guards against short jobs that wait behind long ones, against a gang that is delayed like many small
// jobs, and against a long job that waits without a bound.
func TestRank(t *testing.T) {
	g := gomega.NewWithT(t)
	long, short := RankTime(start, 2*time.Hour, 1), RankTime(start.Add(time.Hour), time.Hour, 1)
	g.Expect(short.Before(long)).To(gomega.BeTrue())
	g.Expect(RankTime(start, 2*time.Hour, 16)).To(gomega.Equal(start.Add(2 * time.Hour)))
	g.Expect(RankTime(start, 1000*time.Hour, 128)).To(gomega.Equal(start.Add(maxRunTimeDelay)))
	g.Expect(RankTime(start, -time.Hour, 0)).To(gomega.Equal(start))
}
