package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/bench/load"
)

// loadError reports calls that did not get exactly one answer.
type loadError struct{}

func (*loadError) Error() string { return "not every call was answered exactly once" }

type loadCommand struct {
	app        *app
	Account    string        `long:"account" required:"true" description:"client account"`
	Service    string        `long:"service" default:"load" description:"operation of the requests"`
	Rate       float64       `long:"rate" default:"100" description:"requests per second"`
	JobRate    float64       `long:"job-rate" default:"0" description:"jobs per second"`
	Duration   time.Duration `long:"duration" default:"10s" description:"length of the load"`
	Repeatable float64       `long:"repeatable" default:"0" description:"share of repeatable requests, from 0 to 1"`
	Timeout    time.Duration `long:"timeout" default:"5s" description:"time that a caller waits"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals and mix"`
	CSV        string        `long:"csv" description:"file for the report as CSV"`
}

// Execute implements flags.Commander.
func (o *loadCommand) Execute([]string) error {
	if o.Rate < 0 || o.JobRate < 0 || o.Rate+o.JobRate == 0 || o.Duration <= 0 || o.Timeout <= 0 || o.Repeatable < 0 || o.Repeatable > 1 {
		return &usageError{"rates, durations and shares must be in range, and one rate positive"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r := load.Run(ctx, load.Options{
		Servers: o.app.options.Server, Account: model.AccountID(o.Account), Service: o.Service,
		RequestRate: o.Rate, JobRate: o.JobRate, Duration: o.Duration, RepeatableShare: o.Repeatable,
		Timeout: o.Timeout, Seed: o.Seed,
	})
	if err := o.writeCSV(r); err != nil {
		return err
	}
	var rows [][]any
	for _, row := range r.Rows() {
		var cells []any
		for _, cell := range row {
			cells = append(cells, cell)
		}
		rows = append(rows, cells)
	}
	if err := o.app.printResult(r, rows...); err != nil {
		return err
	}
	if !r.EachAnsweredOnce() {
		return &loadError{}
	}
	return nil
}

func (o *loadCommand) writeCSV(r load.Report) error {
	if o.CSV == "" {
		return nil
	}
	f, err := os.Create(o.CSV)
	if err != nil {
		return errors.Wrap(err, "CSV file")
	}
	return errors.CombineErrors(r.WriteCSV(f), f.Close())
}
