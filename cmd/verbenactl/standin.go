package main

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/standins/executor"
	"github.com/verbenaflow/verbenaflow/standins/store"
	"github.com/verbenaflow/verbenaflow/standins/vmlist"
	"github.com/verbenaflow/verbenaflow/standins/worker"
)

// listenOption is the flag that all stand-ins share.
type listenOption struct {
	Listen string `long:"listen" required:"true" description:"address IP:port"`
}

// serve runs a stand-in until SIGTERM.
func (o listenOption) serve(run func(context.Context, net.Listener) error) error {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, l)
}

type storeCommand struct{ listenOption }

// Execute implements flags.Commander.
func (o *storeCommand) Execute([]string) error {
	return o.serve(func(ctx context.Context, l net.Listener) error { return store.Run(ctx, l, store.New()) })
}

type vmlistCommand struct {
	listenOption
	File string        `long:"file" required:"true" description:"JSON file with the list of VMs"`
	Lag  time.Duration `long:"lag" default:"2s" description:"delay of changes"`
}

// Execute implements flags.Commander.
func (o *vmlistCommand) Execute([]string) error {
	data, err := os.ReadFile(o.File)
	if err != nil {
		return err
	}
	var vms []model.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return err
	}
	return o.serve(func(ctx context.Context, l net.Listener) error { return vmlist.Run(ctx, l, vmlist.New(vms, o.Lag)) })
}

type workerCommand struct{ listenOption }

// Execute implements flags.Commander.
func (o *workerCommand) Execute([]string) error {
	return o.serve(func(ctx context.Context, l net.Listener) error { return worker.Run(ctx, l, worker.New()) })
}

type executorCommand struct {
	listenOption
	Slots int           `long:"slots" default:"8" description:"requests at a time"`
	Took  time.Duration `long:"took" default:"5ms" description:"time of a request"`
}

// Execute implements flags.Commander.
func (o *executorCommand) Execute([]string) error {
	return o.serve(func(ctx context.Context, l net.Listener) error {
		return executor.Run(ctx, l, executor.New(o.Slots, o.Took))
	})
}

// addStandins adds the stand-ins of the platform.
func addStandins(p *flags.Parser) {
	group, err := p.AddCommand("standin", "run a stand-in of the platform", "Run a small stand-in of one platform service.", &struct{}{})
	if err != nil {
		panic(err)
	}
	for name, c := range map[string]any{
		"store": &storeCommand{}, "vmlist": &vmlistCommand{}, "worker": &workerCommand{}, "executor": &executorCommand{},
	} {
		if _, err := group.AddCommand(name, "run the "+name+" stand-in", "", c); err != nil {
			panic(err)
		}
	}
}
