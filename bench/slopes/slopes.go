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

// Options select the measurements and their sizes. Empty lists and zero values mean the defaults.
type Options struct {
	// Parts names the measurements: holder, vms, store, appends, recovery, memory, requests,
	// election, urgent and gangs; empty means all.
	Parts []string
	// Fleet is the address of a fleet in another process; see ServeFleet. If it is empty, the stand-ins run in this process
	// and their processor time and memory are included in the figures.
	Fleet string
	// Window is the length of one measurement.
	Window time.Duration
	// Repeat is the number of runs of each part; the table shows the median of each value.
	Repeat int
	// Workers and Tasks are the sizes of the holder part. Tasks lists running tasks per worker in rising order: 8
	// with an accelerator each, the others without one.
	Workers, Tasks []int
	// VMs are multiples of 7, the number of entry VMs in 7 failure domains.
	VMs []int
	// Domains are the numbers of failure domains of the store part.
	Domains []int
	// Requests are requests a second.
	Requests []int
	// Appends are log records a second.
	Appends []int
	// StoreDelay is the time that the store takes for each call of the appends part.
	StoreDelay time.Duration
	// Jobs are the jobs in the log of the recovery and memory parts.
	Jobs []int
	// RecoveryWorkers are the numbers of workers of the recovery part, at least 2.
	RecoveryWorkers []int
	// ElectionWorkers are the numbers of workers of the election part.
	ElectionWorkers []int
	// UrgentWorkers is the number of workers of the urgent and gangs parts.
	UrgentWorkers int
	// Samples are the urgent jobs of each row.
	Samples int
	// Gangs are the tasks of the gangs part, each with all accelerators of a worker.
	Gangs []int
}

// UnknownPartError reports a part that does not exist.
type UnknownPartError struct{ Part string }

func (e *UnknownPartError) Error() string { return fmt.Sprintf("unknown part %q", e.Part) }

type part struct {
	name string
	run  func(context.Context, *Options) (Table, error)
}

var parts = []part{
	{"holder", holderPart},
	{"vms", vmsPart},
	{"store", storePart},
	{"appends", appendPart},
	{"recovery", recoveryPart},
	{"memory", memoryPart},
	{"requests", requestsPart},
	{"election", electionPart},
	{"urgent", urgentPart},
	{"gangs", gangsPart},
}

// PartNames lists the measurements.
func PartNames() []string {
	var out []string
	for _, p := range parts {
		out = append(out, p.name)
	}
	return out
}

// defaultWindow is a multiple of the 2 s between two exchanges with a worker: those of all workers can coincide,
// so that a window of 3 s counted them once or twice. Each part takes about a minute.
const defaultWindow = 4 * time.Second

// defaultStoreDelay stands for a store that answers in milliseconds.
const defaultStoreDelay = 5 * time.Millisecond

const (
	// targetWorkers is the number of workers of a failure domain at the target size.
	targetWorkers = 172
	// defaultSamples gives a 99th percentile that two jobs exceed.
	defaultSamples = 200
)

func (o *Options) complete() error {
	for _, name := range o.Parts {
		if !slices.Contains(PartNames(), name) {
			return &UnknownPartError{name}
		}
	}
	set := func(list *[]int, values ...int) {
		if len(*list) == 0 {
			*list = values
		}
	}
	set(&o.Workers, 25, 50, 100, 200)
	set(&o.Tasks, 0, 8, 21)
	set(&o.VMs, 7, 14, 21, 28)
	set(&o.Domains, 1, 3, 5, 7)
	set(&o.Requests, 25, 50, 100, 200)
	set(&o.Appends, 0, 10, 100, 1000)
	set(&o.Jobs, 100, 400, 1000, 2500)
	set(&o.RecoveryWorkers, 25, 200)
	set(&o.ElectionWorkers, 25, 172)
	set(&o.Gangs, 16, 128)
	o.UrgentWorkers = cmp.Or(o.UrgentWorkers, targetWorkers)
	o.Samples = cmp.Or(o.Samples, defaultSamples)
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	if o.StoreDelay <= 0 {
		o.StoreDelay = defaultStoreDelay
	}
	o.Repeat = max(1, o.Repeat)
	return nil
}

// Run measures the selected parts, prints a table and lines for each to w and writes the values of all runs to
// csvPath, unless it is empty. It returns an *UnknownPartError, or the error of a measurement or of writing.
func Run(ctx context.Context, o Options, w io.Writer, csvPath string) (err error) {
	if err := o.complete(); err != nil {
		return err
	}
	var file io.WriteCloser = discard{}
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
		if err := o.repeat(ctx, p, w, out); err != nil {
			return err
		}
	}
	return nil
}

// repeat runs one part and prints the median.
func (o *Options) repeat(ctx context.Context, p part, w io.Writer, out *csv.Writer) error {
	var runs []Table
	for i := range o.Repeat {
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

// discard is a file that keeps nothing.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Close implements io.Closer.
func (discard) Close() error { return nil }
