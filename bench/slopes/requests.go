package slopes

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/bench/load"
)

// answerTimeout bounds one request of the load.
const answerTimeout = 5 * time.Second

// requestsPart measures two entry VMs of one failure domain at several rates of non-repeatable requests, half
// of which reach the VM that is not the holder. The processor time includes that of the callers, which run in
// this process.
func requestsPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "requests", Keys: 1, Columns: []string{
		"requests_per_s", "cpu_percent_with_callers", "heap_kb_growth", "bytes_heap_per_request", "store_put_per_s",
		"peer_bytes_per_request", "sent", "run", "p50_ms", "p99_ms",
	}}
	return o.rows(ctx, t, o.Requests, noWorkers, func(t *Table, f measuredFleet, rate int) error {
		return o.requestsRow(ctx, t, f.state, rate)
	})
}

func (o *Options) requestsRow(ctx context.Context, t *Table, s fleetState, rate int) error {
	c, err := newCluster(1, 2, fleetState{Store: s.Store, Executors: s.Executors})
	if err != nil {
		return err
	}
	defer c.abort()
	time.Sleep(meet)
	if _, err := c.change(ctx, 0); err != nil {
		return err
	}
	time.Sleep(settle)
	run := func() load.Report {
		return load.Run(ctx, load.Options{
			Servers: c.servers, Account: team(0), Service: "slope", Rate: float64(rate), Duration: o.Window,
			Timeout: answerTimeout, Seed: 1,
		})
	}
	run() // Opens connections and fills pools.
	heap, _ := heapKB()
	before, err := storeCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	peers, used, begun := c.peers.total(), cpu(), time.Now()
	report := run()
	took, spent, sent := time.Since(begun).Seconds(), cpu()-used, c.peers.total()-peers
	after, err := storeCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	grown, _ := heapKB()
	r := report[load.ClassRequest]
	if r.Sent == 0 || !report.OnceEach() {
		return errors.Newf("%d requests were sent, not each was answered exactly once: %+v", r.Sent, *r)
	}
	n := float64(r.Sent)
	t.add(float64(rate), round(100*spent.Seconds()/took), round(grown-heap), round(1000*(grown-heap)/n),
		round(float64(after.Operations["put"]-before.Operations["put"])/took), round(float64(sent)/n), n, float64(r.Run),
		float64(r.P50)/1000, float64(r.P99)/1000)
	return nil
}
