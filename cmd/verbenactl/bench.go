package main

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/bench"
	"github.com/verbenaflow/verbenaflow/bench/routing"
	"github.com/verbenaflow/verbenaflow/bench/slopes"
	"github.com/verbenaflow/verbenaflow/node/logging"
)

// csvOption is the flag of benchmarks that can write their values to a CSV file.
type csvOption struct {
	CSV string `long:"csv" description:"file for the values as CSV"`
}

type benchPolicies struct {
	app *app
	csvOption
	Scenarios []string  `long:"scenario" choice:"today" choice:"large-7" choice:"large-1" description:"size; may be given several times"`
	Seeds     []uint64  `long:"seed" description:"seed of the drawn jobs; may be given several times"`
	Loads     []float64 `long:"offered" description:"offered load as part of the capacity; may be given several times"`
}

// Execute implements flags.Commander.
func (o *benchPolicies) Execute([]string) error {
	options := bench.PolicyOptions{Scenarios: o.Scenarios, Seeds: o.Seeds, OfferedLoads: o.Loads}
	return bench.RunPolicies(options, o.app.out, o.CSV)
}

type benchDomains struct {
	app *app
	csvOption
	Scenarios []string  `long:"scenario" choice:"today-3" choice:"large-7" description:"size; may be given several times"`
	Variants  []string  `long:"variant" description:"way to choose failure domains, for example stay, choice or transfers; may be given several times; by default all"`
	Seeds     []uint64  `long:"seed" description:"seed of the drawn jobs; may be given several times"`
	Loads     []float64 `long:"offered" description:"offered load as part of the capacity; may be given several times"`
}

// Execute implements flags.Commander.
func (o *benchDomains) Execute([]string) error {
	options := bench.DomainSelectionOptions{Scenarios: o.Scenarios, Variants: o.Variants, Seeds: o.Seeds, OfferedLoads: o.Loads}
	return bench.RunDomainSelection(options, o.app.out, o.CSV)
}

type benchRounds struct {
	app   *app
	Steps int `long:"steps" default:"300" description:"rounds for each kind of change"`
}

// Execute implements flags.Commander.
func (o *benchRounds) Execute([]string) error {
	if o.Steps < 1 {
		return &usageError{"--steps must be positive"}
	}
	return bench.RunPlannerRounds(o.app.out, o.Steps)
}

type benchOutage struct {
	app *app
	csvOption
}

// Execute implements flags.Commander.
func (o *benchOutage) Execute([]string) error { return bench.RunStoreOutages(o.app.out, o.CSV) }

type benchRouting struct {
	app *app
	csvOption
}

// Execute implements flags.Commander.
func (o *benchRouting) Execute([]string) error { return routing.RunRouting(o.app.out, o.CSV) }

type benchSlopes struct {
	app *app
	csvOption
	Parts           []string      `long:"part" choice:"holder" choice:"vms" choice:"store" choice:"appends" choice:"recovery" choice:"memory" choice:"requests" choice:"election" choice:"urgent" choice:"gangs" description:"measurement; by default all; may be given several times, as all sizes"`
	Fleet           string        `long:"fleet" description:"address of a bench fleet in another process; by default the stand-ins run in this process and count"`
	Window          time.Duration `long:"window" default:"4s" description:"length of one measurement"`
	Repeat          int           `long:"repeat" default:"1" description:"runs of each part, of which the median is printed"`
	Workers         []int         `long:"workers" description:"workers of the holder part"`
	Tasks           []int         `long:"tasks" description:"running tasks per worker of the holder part, rising; 8 have an accelerator"`
	VMs             []int         `long:"vms" description:"entry VMs, multiples of 7"`
	Domains         []int         `long:"domains" description:"failure domains of the store part"`
	Appends         []int         `long:"appends" description:"log records a second"`
	Requests        []int         `long:"requests" description:"requests a second"`
	StoreDelay      time.Duration `long:"store-delay" default:"5ms" description:"time that the store takes for a call of the appends part"`
	Jobs            []int         `long:"jobs" description:"jobs of the recovery and memory parts"`
	RecoveryWorkers []int         `long:"recovery-workers" description:"workers of the recovery part, at least 2"`
	ElectionWorkers []int         `long:"election-workers" description:"workers of the election part"`
	UrgentWorkers   int           `long:"urgent-workers" default:"172" description:"workers of the urgent and gangs parts"`
	Samples         int           `long:"samples" default:"200" description:"urgent jobs of each row"`
	Gangs           []int         `long:"gangs" description:"tasks of the gangs part, each with a whole worker"`
}

// Execute implements flags.Commander.
func (o *benchSlopes) Execute([]string) error {
	if err := o.check(); err != nil {
		return err
	}
	if err := logging.Setup(io.Discard, "bench", "slopes", 0); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return slopes.Run(ctx, slopes.Options{
		Parts: o.Parts, FleetAddress: o.Fleet, Window: o.Window, RunsPerPart: o.Repeat, WorkerCounts: o.Workers, TasksPerWorker: o.Tasks,
		EntryVMCounts: o.VMs, DomainCounts: o.Domains, AppendRates: o.Appends, StoreDelay: o.StoreDelay, JobCounts: o.Jobs, RequestRates: o.Requests, RecoveryWorkerCounts: o.RecoveryWorkers,
		ElectionWorkerCounts: o.ElectionWorkers, UrgentWorkerCount: o.UrgentWorkers, UrgentJobsPerRow: o.Samples, GangSizes: o.Gangs,
	}, o.app.out, o.CSV)
}

func (o *benchSlopes) check() error {
	if o.Window <= 0 || o.Repeat < 1 || o.StoreDelay < time.Millisecond || o.UrgentWorkers < 1 || o.Samples < 1 {
		return &usageError{"--window, --repeat, --urgent-workers and --samples must be positive, and --store-delay at least 1ms"}
	}
	for _, s := range []struct {
		flag    string
		sizes   []int
		minimum int
	}{
		{"--workers", o.Workers, 1},
		{"--tasks", o.Tasks, 0},
		{"--vms", o.VMs, 7},
		{"--domains", o.Domains, 1},
		{"--appends", o.Appends, 0},
		{"--requests", o.Requests, 1},
		{"--jobs", o.Jobs, 2},
		{"--recovery-workers", o.RecoveryWorkers, 2},
		{"--election-workers", o.ElectionWorkers, 1},
		{"--gangs", o.Gangs, 1},
	} {
		for i, n := range s.sizes {
			if n < s.minimum || s.flag == "--vms" && n%7 != 0 || s.flag == "--tasks" && i > 0 && n < s.sizes[i-1] {
				return &usageError{s.flag + " is out of range"}
			}
		}
	}
	return nil
}

type benchFleet struct {
	app *app
	listenOption
	Workers int `long:"workers" default:"200" description:"number of stand-in workers"`
}

// Execute implements flags.Commander.
func (o *benchFleet) Execute([]string) error {
	if o.Workers < 0 {
		return &usageError{"--workers must not be negative"}
	}
	return o.serve(func(ctx context.Context, l net.Listener) error {
		return errors.Wrap(slopes.ServeFleet(ctx, l, o.Workers), "fleet")
	})
}

// benchCommands returns the benchmark commands. Of the exit codes of verbenactl they use 0 for a complete run, 1 for a
// failed measurement and 2 for invalid flags.
func (a *app) benchCommands() []commandNode {
	return []commandNode{
		{name: "policies", help: "compare queue and placement policies in virtual time", command: &benchPolicies{app: a}},
		{name: "domains", help: "compare ways to choose the failure domain of jobs in virtual time", command: &benchDomains{app: a}},
		{name: "rounds", help: "measure planner rounds at 1,200 workers", command: &benchRounds{app: a}},
		{name: "outage", help: "measure what outages of the store cost in completion time", command: &benchOutage{app: a}},
		{name: "routing", help: "compare policies for the choice of an executor", command: &benchRouting{app: a}},
		{name: "slopes", help: "measure cost per worker, job and entry VM. Exit codes: 0 complete, 1 a measurement failed, 2 usage", command: &benchSlopes{app: a}},
		{name: "fleet", help: "run stand-in workers and a store for bench slopes until SIGTERM", command: &benchFleet{app: a}},
	}
}
