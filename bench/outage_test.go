package bench

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRunOutage guards against starts during an outage, and against jobs that are lost in one.
func TestRunOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	var table bytes.Buffer
	g.Expect(runOutages(&table, "", scenarios[:1], []float64{0.3}, []uint64{1})).To(gomega.Succeed())
	none, hour := runOutage(scenarios[0], 0.3, 0, 1), runOutage(scenarios[0], 0.3, time.Hour, 1)
	unfinished := len(none) - 1
	g.Expect(none[unfinished] + hour[unfinished]).To(gomega.BeZero())
	g.Expect(hour[4]).To(gomega.Equal(none[4]), "affected jobs")
	g.Expect(hour[2]).To(gomega.BeNumerically(">", none[2]), "mean completion of affected jobs")
}
