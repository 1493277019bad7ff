package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/api/names"
)

// settle is the time after a start or a change before a measurement begins. It covers the exchanges that
// follow a start command within 500 ms.
const settle = time.Second

// withFleet runs f with the state of the fleet at o.Fleet, or of one inside this process if that is empty.
func (o *Options) withFleet(ctx context.Context, n int, f func(address string, s fleetState) error) error {
	address := o.Fleet
	if address == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "fleet")
		}
		inner, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = ServeFleet(inner, l, n) })
		address = l.Addr().String()
	}
	s, err := fleet(ctx, address)
	if err != nil {
		return err
	}
	if len(s.Workers) < n {
		return errors.Newf("the fleet has %d workers, %d are needed", len(s.Workers), n)
	}
	s.Workers = s.Workers[:n]
	return f(address, s)
}

// measuredFleet is the fleet of one size and the address that tells its counts.
type measuredFleet struct {
	address string
	state   fleetState
}

// Numbers of workers of a size.
func noWorkers(int) int     { return 0 }
func oneWorker(int) int     { return 1 }
func sameWorkers(n int) int { return n }

// rows adds the rows of each size to a table. Each size has its own fleet view of workers(size) workers.
func (o *Options) rows(ctx context.Context, t Table, sizes []int, workers func(int) int, add func(*Table, measuredFleet, int) error) (Table, error) {
	for _, size := range sizes {
		err := o.withFleet(ctx, workers(size), func(address string, s fleetState) error {
			return add(&t, measuredFleet{address, s}, size)
		})
		if err != nil {
			return t, err
		}
	}
	return t, nil
}

// epochBase keeps epochs short, since each exchange carries them. Runs are more than two seconds apart.
var epochBase = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// nextEpoch returns an epoch above all earlier ones, so that a fleet can be used again, and a failure domain
// with an empty log.
func nextEpoch() (uint64, model.FailureDomain) {
	n := uint64(time.Since(epochBase).Seconds())
	return n, model.FailureDomain(fmt.Sprintf("d%d", n))
}

// holderPart measures a holder against workers that are idle, run a task on each accelerator, or also run tasks
// without accelerators.
func holderPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{
		Title: "holder", Keys: 2,
		Columns: []string{"workers", "tasks_per_worker", "cpu_percent", "heap_kb", "stack_kb", "bytes_per_s", "exchanges_per_s", "us_per_exchange"},
	}
	return o.rows(ctx, t, o.Workers, sameWorkers, func(t *Table, f measuredFleet, _ int) error {
		return o.holderRows(ctx, t, f.address, f.state)
	})
}

func (o *Options) holderRows(ctx context.Context, t *Table, address string, s fleetState) error {
	epoch, d := nextEpoch()
	h, err := newHolder(d, epoch, s.Store, s.Workers)
	if err != nil {
		return err
	}
	defer h.abort()
	h.ready()
	running := 0
	for _, perWorker := range o.Tasks {
		if n := len(s.Workers) * perWorker; n > running {
			if err := h.fill(running, n, len(s.Workers)); err != nil {
				return err
			}
			running = n
			time.Sleep(settle)
		}
		if err := o.holderRow(ctx, t, address, h, len(s.Workers), perWorker); err != nil {
			return err
		}
	}
	return nil
}

// fill raises the number of running tasks: first one for each accelerator, then tasks without one.
func (h *holder) fill(from, to, workers int) error {
	full := workers * model.GPUsPerWorker
	if n := min(to, full) - from; n > 0 {
		if err := h.submit(n, oneGPU); err != nil {
			return err
		}
	}
	if n := to - max(from, full); n > 0 {
		if err := h.submit(n, cpuOnly); err != nil {
			return err
		}
	}
	return h.await(to)
}

func (o *Options) holderRow(ctx context.Context, t *Table, address string, h *holder, workers, perWorker int) error {
	before, err := fleet(ctx, address)
	if err != nil {
		return err
	}
	exchanges, used, begun := h.exchanges.Load(), cpu(), time.Now()
	time.Sleep(o.Window)
	took, spent, done := time.Since(begun).Seconds(), cpu()-used, float64(h.exchanges.Load()-exchanges)
	after, err := fleet(ctx, address)
	if err != nil {
		return err
	}
	live, stacks := heapKB()
	t.add(float64(workers), float64(perWorker), round(100*spent.Seconds()/took), round(live), round(stacks),
		round(float64(after.In+after.Out-before.In-before.Out)/took), round(done/took), round(spent.Seconds()*1e6/done))
	return nil
}

// recoveryPart measures the time from the grant of authority to the first task start of a second holder, and
// its store calls until then.
func recoveryPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "recovery", Keys: 2, Columns: []string{"jobs", "workers", "ms_to_first_start", "store_reads", "store_writes"}}
	return o.rows(ctx, t, o.RecoveryWorkers, sameWorkers, func(t *Table, f measuredFleet, _ int) error {
		for _, jobs := range o.Jobs {
			if err := recoveryRow(ctx, t, f.state, jobs); err != nil {
				return err
			}
		}
		return nil
	})
}

func recoveryRow(ctx context.Context, t *Table, s fleetState, jobs int) error {
	epoch, d := nextEpoch()
	// The first holder lacks at least one worker, so that the second one adopts the running jobs and has room
	// to start a waiting job as soon as its state is complete.
	running := min(jobs, len(s.Workers)) - 1
	first, err := newHolder(d, epoch, s.Store, s.Workers[:running])
	if err != nil {
		return err
	}
	first.ready()
	err = first.submit(jobs, wholeWorker)
	if err == nil {
		err = first.await(running)
	}
	time.Sleep(settle)
	first.abort()
	if err != nil {
		return err
	}
	before, err := storeCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	begun := time.Now()
	second, err := newHolder(d, epoch+1, s.Store, s.Workers)
	if err != nil {
		return err
	}
	defer second.abort()
	select {
	case <-second.firstHold:
	case <-time.After(startTimeout):
		return errors.Newf("no task was started within %s", startTimeout)
	}
	took := time.Since(begun)
	after, err := storeCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	diff := func(op string) float64 { return float64(after.Operations[op] - before.Operations[op]) }
	t.add(float64(jobs), float64(len(s.Workers)), round(float64(took.Microseconds())/1000), diff("get"), diff("put"))
	return nil
}

// memoryPart measures the heap of a holder per waiting job.
func memoryPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "memory", Keys: 1, Columns: []string{"waiting_jobs", "heap_kb", "stack_kb"}}
	return o.rows(ctx, t, o.Jobs, oneWorker, func(t *Table, f measuredFleet, jobs int) error {
		epoch, d := nextEpoch()
		h, err := newHolder(d, epoch, f.state.Store, f.state.Workers)
		if err != nil {
			return err
		}
		defer h.abort()
		time.Sleep(settle)
		if err := h.submit(jobs, oneGPU); err != nil {
			return err
		}
		time.Sleep(settle)
		live, stacks := heapKB()
		t.add(float64(jobs), round(live), round(stacks))
		return nil
	})
}

// appendPart measures the store calls of the log of one failure domain at several rates of records, with a
// store that answers after o.StoreDelay.
func appendPart(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "appends", Keys: 1, Columns: []string{"records_per_s", "puts_per_s", "gets_per_s", "deletes_per_s", "records_done_per_s"}}
	return o.rows(ctx, t, o.Appends, oneWorker, func(t *Table, f measuredFleet, rate int) error {
		if err := setStoreDelay(ctx, f.state.Store, o.StoreDelay); err != nil {
			return err
		}
		err := o.appendRow(ctx, t, f.state, rate)
		return errors.CombineErrors(err, setStoreDelay(ctx, f.state.Store, 0))
	})
}

func (o *Options) appendRow(ctx context.Context, t *Table, s fleetState, rate int) error {
	epoch, d := nextEpoch()
	h, err := newHolder(d, epoch, s.Store, s.Workers)
	if err != nil {
		return err
	}
	defer h.abort()
	time.Sleep(settle)
	before, err := storeCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	begun := time.Now()
	done, err := h.appendAt(rate, model.Epoch{Store: epoch}, o.Window)
	if err != nil {
		return err
	}
	took := time.Since(begun).Seconds()
	after, err := storeCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	per := func(op string) float64 { return round(float64(after.Operations[op]-before.Operations[op]) / took) }
	t.add(float64(rate), per("put"), per("get"), per("delete"), round(float64(done)/took))
	return nil
}

// appendAt sends evenly spaced records for a time and returns the number of durable ones.
func (h *holder) appendAt(rate int, epoch model.Epoch, window time.Duration) (int, error) {
	if rate == 0 {
		time.Sleep(window)
		return 0, nil
	}
	var wg conc.WaitGroup
	n := int(float64(rate) * window.Seconds())
	results := make(chan error, n)
	begun := time.Now()
	record := message.LogRecord{Service: names.Dispatch, Data: make([]byte, recordBytes)}
	for i := range n {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
			defer cancel()
			_, err := h.kernel.Call(ctx, names.Store, message.LogAppend{Epoch: epoch, Records: []message.LogRecord{record}})
			results <- err
		})
	}
	wg.Wait()
	for range n {
		if err := <-results; err != nil {
			return 0, errors.Wrap(err, "append")
		}
	}
	return n, nil
}

// recordBytes is about the size of a job record.
const recordBytes = 350
