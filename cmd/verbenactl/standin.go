package main

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

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

// serve listens and runs a stand-in until SIGTERM or SIGINT.
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

// standinCommands returns the commands that run a stand-in (a simulated service) of the platform.
func standinCommands() []commandNode {
	return []commandNode{
		{name: "store", help: "run the key-value store", command: &storeCommand{}},
		{name: "vmlist", help: "run the list of VMs", command: &vmlistCommand{}},
		{name: "worker", help: "run a worker", command: &workerCommand{}},
		{name: "executor", help: "run an executor", command: &executorCommand{}},
	}
}
