package slopes

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/bench/load"
)

// requestTimeout is the timeout of a request of the load.
const requestTimeout = 5 * time.Second

// measureRequests measures two entry VMs of one failure domain at several rates of non-repeatable requests. Half of the
// requests go to the VM that is not the holder. The processor time includes that of the clients, which run in this
// process.
func measureRequests(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "requests", KeyColumns: 1, Columns: []string{
		"requests_per_s", "cpu_percent_with_callers", "heap_kb_growth", "bytes_heap_per_request", "store_put_per_s",
		"peer_bytes_per_request", "sent", "run", "p50_ms", "p99_ms",
	}}
	return o.measureSizes(ctx, t, o.RequestRates, noWorkers, func(t *Table, f fleetView, rate int) error {
		return o.addRequestsRow(ctx, t, f.state, rate)
	})
}

func (o *Options) addRequestsRow(ctx context.Context, t *Table, s fleetState, rate int) error {
	c, err := startCluster(1, 2, fleetState{Store: s.Store, Executors: s.Executors})
	if err != nil {
		return err
	}
	defer c.abort()
	time.Sleep(clusterFormationTime)
	if _, err := c.changeConfig(ctx, 0); err != nil {
		return err
	}
	time.Sleep(settleTime)
	runLoad := func() load.Report {
		return load.Run(ctx, load.Options{
			Servers: c.servers, Account: numberedAccount(0), Service: "slope", RequestRate: float64(rate), Duration: o.Window,
			Timeout: requestTimeout, Seed: 1,
		})
	}
	runLoad() // The first load opens connections and fills pools, so that the measurement does not include this.
	heapBefore, _ := memoryKB()
	before, err := fetchStoreCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	peerBytesBefore, cpuBefore, start := c.peerTraffic.total(), cpuTime(), time.Now()
	report := runLoad()
	elapsed, cpuUsed, peerBytes := time.Since(start).Seconds(), cpuTime()-cpuBefore, c.peerTraffic.total()-peerBytesBefore
	after, err := fetchStoreCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	heapAfter, _ := memoryKB()
	r := report[load.ClassRequest]
	if r.Sent == 0 || !report.EachAnsweredOnce() {
		return errors.Newf("of %d requests, not each got exactly one response: %+v", r.Sent, *r)
	}
	requests := float64(r.Sent)
	t.add(float64(rate), round(100*cpuUsed.Seconds()/elapsed), round(heapAfter-heapBefore), round(1000*(heapAfter-heapBefore)/requests),
		round(float64(after.Operations["put"]-before.Operations["put"])/elapsed), round(float64(peerBytes)/requests), requests, float64(r.Run),
		float64(r.P50)/1000, float64(r.P99)/1000)
	return nil
}
