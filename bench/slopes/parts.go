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

// settleTime is the wait between a start or a change and the measurement. It covers the exchanges that follow a start
// command within 500 ms.
const settleTime = time.Second

// withFleet calls f with the address and the state, limited to n workers, of the fleet at o.Fleet. If that is empty, it
// runs a fleet of n workers in this process during the call.
func (o *Options) withFleet(ctx context.Context, n int, f func(address string, s fleetState) error) error {
	address := o.FleetAddress
	if address == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen for the fleet")
		}
		inner, cancel := context.WithCancel(ctx)
		var wg conc.WaitGroup
		defer wg.Wait()
		defer cancel()
		wg.Go(func() { _ = ServeFleet(inner, l, n) })
		address = l.Addr().String()
	}
	s, err := fetchFleetState(ctx, address)
	if err != nil {
		return err
	}
	if len(s.Workers) < n {
		return errors.Newf("the fleet has %d workers, %d are needed", len(s.Workers), n)
	}
	s.Workers = s.Workers[:n]
	return f(address, s)
}

// fleetView is the state of a fleet, limited to the workers of one size, and the address that serves its counts.
type fleetView struct {
	address string
	state   fleetState
}

// Functions that return the number of workers for a size of measureSizes.
func noWorkers(int) int     { return 0 }
func oneWorker(int) int     { return 1 }
func sizeWorkers(n int) int { return n }

// measureSizes calls addRows for each size, with a view of a fleet of workers(size) workers, to add the rows of that
// size to the table.
func (o *Options) measureSizes(ctx context.Context, t Table, sizes []int, workers func(int) int, addRows func(*Table, fleetView, int) error) (Table, error) {
	for _, size := range sizes {
		err := o.withFleet(ctx, workers(size), func(address string, s fleetState) error {
			return addRows(&t, fleetView{address, s}, size)
		})
		if err != nil {
			return t, err
		}
	}
	return t, nil
}

// epochOrigin is the time from which epochs count seconds. A recent origin keeps epochs short, since each exchange
// carries them. Runs start more than two seconds apart, so that their epochs differ.
var epochOrigin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// nextEpochAndDomain returns an epoch above all earlier ones, so that the workers of a fleet that was used before
// accept the holder, and a failure domain whose log is empty.
func nextEpochAndDomain() (uint64, model.FailureDomain) {
	n := uint64(time.Since(epochOrigin).Seconds())
	return n, model.FailureDomain(fmt.Sprintf("d%d", n))
}

// measureHolder measures a holder while its workers are idle, run a task on each accelerator, or run tasks without
// accelerators in addition.
func measureHolder(ctx context.Context, o *Options) (Table, error) {
	t := Table{
		Title: "holder", KeyColumns: 2,
		Columns: []string{"workers", "tasks_per_worker", "cpu_percent", "heap_kb", "stack_kb", "bytes_per_s", "exchanges_per_s", "us_per_exchange"},
	}
	return o.measureSizes(ctx, t, o.WorkerCounts, sizeWorkers, func(t *Table, f fleetView, _ int) error {
		return o.addHolderRows(ctx, t, f.address, f.state)
	})
}

func (o *Options) addHolderRows(ctx context.Context, t *Table, address string, s fleetState) error {
	epoch, d := nextEpochAndDomain()
	h, err := startHolder(d, epoch, s.Store, s.Workers)
	if err != nil {
		return err
	}
	defer h.abort()
	h.awaitReady()
	running := 0
	for _, tasksPerWorker := range o.TasksPerWorker {
		if n := len(s.Workers) * tasksPerWorker; n > running {
			if err := h.raiseRunningTasks(running, n, len(s.Workers)); err != nil {
				return err
			}
			running = n
			time.Sleep(settleTime)
		}
		if err := o.addHolderRow(ctx, t, address, h, len(s.Workers), tasksPerWorker); err != nil {
			return err
		}
	}
	return nil
}

// raiseRunningTasks raises the number of running tasks. The new tasks use an accelerator each until all accelerators
// are in use; further tasks use none.
func (h *holder) raiseRunningTasks(from, to, workers int) error {
	accelerators := workers * model.GPUsPerWorker
	if n := min(to, accelerators) - from; n > 0 {
		if err := h.submit(n, oneGPUJob); err != nil {
			return err
		}
	}
	if n := to - max(from, accelerators); n > 0 {
		if err := h.submit(n, cpuOnlyJob); err != nil {
			return err
		}
	}
	return h.awaitRunning(to)
}

func (o *Options) addHolderRow(ctx context.Context, t *Table, address string, h *holder, workers, tasksPerWorker int) error {
	before, err := fetchFleetState(ctx, address)
	if err != nil {
		return err
	}
	exchanges, cpuBefore, start := h.exchanges.Load(), cpuTime(), time.Now()
	time.Sleep(o.Window)
	elapsed, cpuUsed, exchangesDone := time.Since(start).Seconds(), cpuTime()-cpuBefore, float64(h.exchanges.Load()-exchanges)
	after, err := fetchFleetState(ctx, address)
	if err != nil {
		return err
	}
	heap, stack := memoryKB()
	t.add(float64(workers), float64(tasksPerWorker), round(100*cpuUsed.Seconds()/elapsed), round(heap), round(stack),
		round(float64(after.ReceivedBytes+after.SentBytes-before.ReceivedBytes-before.SentBytes)/elapsed), round(exchangesDone/elapsed), round(cpuUsed.Seconds()*1e6/exchangesDone))
	return nil
}

// measureRecovery measures the time from the grant of authority to a second holder until its first task start, and its
// store calls until then.
func measureRecovery(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "recovery", KeyColumns: 2, Columns: []string{"jobs", "workers", "ms_to_first_start", "store_reads", "store_writes"}}
	return o.measureSizes(ctx, t, o.RecoveryWorkerCounts, sizeWorkers, func(t *Table, f fleetView, _ int) error {
		for _, jobs := range o.JobCounts {
			if err := addRecoveryRow(ctx, t, f.state, jobs); err != nil {
				return err
			}
		}
		return nil
	})
}

func addRecoveryRow(ctx context.Context, t *Table, s fleetState, jobs int) error {
	epoch, d := nextEpochAndDomain()
	// The first holder gets at least one worker fewer than the second one, which adopts the running jobs and has a free
	// worker to start a waiting job as soon as its state is complete.
	running := min(jobs, len(s.Workers)) - 1
	first, err := startHolder(d, epoch, s.Store, s.Workers[:running])
	if err != nil {
		return err
	}
	first.awaitReady()
	err = first.submit(jobs, wholeWorkerJob)
	if err == nil {
		err = first.awaitRunning(running)
	}
	time.Sleep(settleTime)
	first.abort()
	if err != nil {
		return err
	}
	before, err := fetchStoreCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	start := time.Now()
	second, err := startHolder(d, epoch+1, s.Store, s.Workers)
	if err != nil {
		return err
	}
	defer second.abort()
	select {
	case <-second.firstHold:
	case <-time.After(waitTimeout):
		return errors.Newf("the second holder started no task within %s", waitTimeout)
	}
	elapsed := time.Since(start)
	after, err := fetchStoreCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	callsOf := func(op string) float64 { return float64(after.Operations[op] - before.Operations[op]) }
	t.add(float64(jobs), float64(len(s.Workers)), round(float64(elapsed.Microseconds())/1000), callsOf("get"), callsOf("put"))
	return nil
}

// measureMemory measures the memory of a holder with different numbers of waiting jobs.
func measureMemory(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "memory", KeyColumns: 1, Columns: []string{"waiting_jobs", "heap_kb", "stack_kb"}}
	return o.measureSizes(ctx, t, o.JobCounts, oneWorker, func(t *Table, f fleetView, jobs int) error {
		epoch, d := nextEpochAndDomain()
		h, err := startHolder(d, epoch, f.state.Store, f.state.Workers)
		if err != nil {
			return err
		}
		defer h.abort()
		time.Sleep(settleTime)
		if err := h.submit(jobs, oneGPUJob); err != nil {
			return err
		}
		time.Sleep(settleTime)
		heap, stack := memoryKB()
		t.add(float64(jobs), round(heap), round(stack))
		return nil
	})
}

// measureAppends measures the store calls of the log of one failure domain at several rates of records. The store
// delays each call by o.StoreDelay.
func measureAppends(ctx context.Context, o *Options) (Table, error) {
	t := Table{Title: "appends", KeyColumns: 1, Columns: []string{"records_per_s", "puts_per_s", "gets_per_s", "deletes_per_s", "records_done_per_s"}}
	return o.measureSizes(ctx, t, o.AppendRates, oneWorker, func(t *Table, f fleetView, rate int) error {
		if err := setStoreDelay(ctx, f.state.Store, o.StoreDelay); err != nil {
			return err
		}
		err := o.addAppendRow(ctx, t, f.state, rate)
		return errors.CombineErrors(err, setStoreDelay(ctx, f.state.Store, 0))
	})
}

func (o *Options) addAppendRow(ctx context.Context, t *Table, s fleetState, rate int) error {
	epoch, d := nextEpochAndDomain()
	h, err := startHolder(d, epoch, s.Store, s.Workers)
	if err != nil {
		return err
	}
	defer h.abort()
	time.Sleep(settleTime)
	before, err := fetchStoreCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	start := time.Now()
	appended, err := h.appendAt(rate, model.Epoch{Store: epoch}, o.Window)
	if err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	after, err := fetchStoreCounts(ctx, s.Store)
	if err != nil {
		return err
	}
	perSecond := func(op string) float64 { return round(float64(after.Operations[op]-before.Operations[op]) / elapsed) }
	t.add(float64(rate), perSecond("put"), perSecond("get"), perSecond("delete"), round(float64(appended)/elapsed))
	return nil
}

// appendAt appends records at a constant rate during the window and returns their number once all are durable.
func (h *holder) appendAt(rate int, epoch model.Epoch, window time.Duration) (int, error) {
	if rate == 0 {
		time.Sleep(window)
		return 0, nil
	}
	var wg conc.WaitGroup
	n := int(float64(rate) * window.Seconds())
	results := make(chan error, n)
	start := time.Now()
	record := message.LogRecord{Service: names.Dispatch, Data: make([]byte, recordBytes)}
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
			defer cancel()
			_, err := h.kernel.Call(ctx, names.Store, message.LogAppend{Epoch: epoch, Records: []message.LogRecord{record}})
			results <- err
		})
	}
	wg.Wait()
	for range n {
		if err := <-results; err != nil {
			return 0, errors.Wrap(err, "append a record")
		}
	}
	return n, nil
}

// recordBytes is the approximate size of a job record.
const recordBytes = 350
