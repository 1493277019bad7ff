package slopes

import (
	"cmp"
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Options selects the measurements and their sizes. Empty lists and zero values are replaced by defaults.
type Options struct {
	// Parts names the measurements: holder, vms, store, appends, recovery, memory, requests,
	// election, urgent and gangs; empty means all.
	Parts []string
	// FleetAddress is the address of a fleet of stand-ins in another process; see ServeFleet. If it is empty, the
	// stand-ins run in this process and their processor time and memory are included in the measured values.
	FleetAddress string
	// Window is the duration of one measurement.
	Window time.Duration
	// RunsPerPart is the number of runs of each part. The printed table shows the median of each value over the runs.
	RunsPerPart int
	// WorkerCounts and TasksPerWorker are the sizes of the holder part. TasksPerWorker lists the numbers of running tasks
	// per worker in ascending order; the first 8 tasks of a worker use an accelerator each, the others none.
	WorkerCounts, TasksPerWorker []int
	// EntryVMCounts are the numbers of entry VMs of the vms part. They are spread over 7 failure domains and must be
	// multiples of 7.
	EntryVMCounts []int
	// DomainCounts are the numbers of failure domains of the store part.
	DomainCounts []int
	// RequestRates are the rates of the requests part, in requests per second.
	RequestRates []int
	// AppendRates are the rates of the appends part, in log records per second.
	AppendRates []int
	// StoreDelay is the delay of each store call in the appends part.
	StoreDelay time.Duration
	// JobCounts are the numbers of jobs in the log of the recovery and memory parts.
	JobCounts []int
	// RecoveryWorkerCounts are the numbers of workers of the recovery part, at least 2.
	RecoveryWorkerCounts []int
	// ElectionWorkerCounts are the numbers of workers of the election part.
	ElectionWorkerCounts []int
	// UrgentWorkerCount is the number of workers of the urgent and gangs parts.
	UrgentWorkerCount int
	// UrgentJobsPerRow is the number of urgent jobs per row of the urgent part.
	UrgentJobsPerRow int
	// GangSizes are the gang sizes of the gangs part, in tasks that use all accelerators of a worker each.
	GangSizes []int
}

// UnknownPartError reports a name in Options.Parts that is not the name of a part.
type UnknownPartError struct{ Part string }

func (e *UnknownPartError) Error() string { return fmt.Sprintf("unknown part %q", e.Part) }

// part is a named measurement.
type part struct {
	name string
	run  func(context.Context, *Options) (Table, error)
}

var parts = []part{
	{"holder", measureHolder},
	{"vms", measureEntryVMs},
	{"store", measureStoreCalls},
	{"appends", measureAppends},
	{"recovery", measureRecovery},
	{"memory", measureMemory},
	{"requests", measureRequests},
	{"election", measureElection},
	{"urgent", measureUrgentStarts},
	{"gangs", measureGangStarts},
}

// PartNames returns the names of all parts in the order in which they run.
func PartNames() []string {
	var out []string
	for _, p := range parts {
		out = append(out, p.name)
	}
	return out
}

// defaultWindow is a multiple of the 2 s interval between two exchanges with a worker. The exchanges of all workers can
// coincide, so that a window of 3 s would contain either one or two of each. With this window, a part takes about a
// minute.
const defaultWindow = 4 * time.Second

// defaultStoreDelay simulates a store that responds within milliseconds.
const defaultStoreDelay = 5 * time.Millisecond

const (
	// targetWorkers is the number of workers per failure domain at the target size of an installation.
	targetWorkers = 172
	// defaultUrgentJobsPerRow is large enough that two samples lie above the 99th percentile.
	defaultUrgentJobsPerRow = 200
)

// applyDefaults rejects unknown parts and replaces empty lists and zero values by the defaults.
func (o *Options) applyDefaults() error {
	for _, name := range o.Parts {
		if !slices.Contains(PartNames(), name) {
			return &UnknownPartError{name}
		}
	}
	setDefault := func(list *[]int, values ...int) {
		if len(*list) == 0 {
			*list = values
		}
	}
	setDefault(&o.WorkerCounts, 25, 50, 100, 200)
	setDefault(&o.TasksPerWorker, 0, 8, 21)
	setDefault(&o.EntryVMCounts, 7, 14, 21, 28)
	setDefault(&o.DomainCounts, 1, 3, 5, 7)
	setDefault(&o.RequestRates, 25, 50, 100, 200)
	setDefault(&o.AppendRates, 0, 10, 100, 1000)
	setDefault(&o.JobCounts, 100, 400, 1000, 2500)
	setDefault(&o.RecoveryWorkerCounts, 25, 200)
	setDefault(&o.ElectionWorkerCounts, 25, 172)
	setDefault(&o.GangSizes, 16, 128)
	o.UrgentWorkerCount = cmp.Or(o.UrgentWorkerCount, targetWorkers)
	o.UrgentJobsPerRow = cmp.Or(o.UrgentJobsPerRow, defaultUrgentJobsPerRow)
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	if o.StoreDelay <= 0 {
		o.StoreDelay = defaultStoreDelay
	}
	o.RunsPerPart = max(1, o.RunsPerPart)
	return nil
}

// Run measures the selected parts. For each part, it prints a table and linear fits to w. It writes the values of all
// runs to the CSV file csvPath, unless that is empty. It returns an *UnknownPartError or the error of a measurement or
// of writing.
func Run(ctx context.Context, o Options, w io.Writer, csvPath string) (err error) {
	if err := o.applyDefaults(); err != nil {
		return err
	}
	var file io.WriteCloser = discardFile{}
	if csvPath != "" {
		if file, err = os.Create(csvPath); err != nil {
			return errors.Wrap(err, "create the CSV file")
		}
	}
	out := csv.NewWriter(file)
	defer func() {
		out.Flush()
		err = errors.CombineErrors(err, errors.CombineErrors(out.Error(), file.Close()))
	}()
	if err := out.Write([]string{"part", "run", "size", "measure", "value"}); err != nil {
		return errors.Wrap(err, "write the CSV file")
	}
	for _, p := range parts {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		if err := o.runPart(ctx, p, w, out); err != nil {
			return err
		}
	}
	return nil
}

// runPart runs a part o.RunsPerPart times, writes the values of each run to out and prints the medians to w.
func (o *Options) runPart(ctx context.Context, p part, w io.Writer, out *csv.Writer) error {
	var runs []Table
	for i := range o.RunsPerPart {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t, err := p.run(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "part %s", p.name)
		}
		if err := t.writeCSV(out, i+1); err != nil {
			return err
		}
		runs = append(runs, t)
	}
	return median(runs).print(w)
}

// discardFile takes the place of the CSV file if none is requested.
type discardFile struct{}

// Write implements io.Writer.
func (discardFile) Write(p []byte) (int, error) { return len(p), nil }

// Close implements io.Closer.
func (discardFile) Close() error { return nil }
