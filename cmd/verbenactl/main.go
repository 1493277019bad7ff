// Command verbenactl is the command-line client for callers and operators.
package main

import (
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	a := newApp(out, errOut)
	p := flags.NewNamedParser("verbenactl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Submits jobs and requests to verbenaflow and operates it.\n\n" + exitCodesHelp
	if _, err := p.AddGroup("Global options", "", &a.options); err != nil {
		return a.printError(err)
	}
	if err := a.addCommands(p); err != nil {
		return a.printError(err)
	}
	if _, err := p.ParseArgs(args); err != nil {
		return a.printError(err)
	}
	return 0
}

// commandNode is a command or, if it has children, a group of commands.
type commandNode struct {
	name, help string
	command    any
	children   []commandNode
}

// commandAdder is implemented by *flags.Parser and *flags.Command.
type commandAdder interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addNodes adds commands and their children recursively.
func addNodes(to commandAdder, nodes []commandNode) error {
	for _, n := range nodes {
		data := n.command
		if data == nil {
			data = &struct{}{}
		}
		c, err := to.AddCommand(n.name, n.help, n.help, data)
		if err != nil {
			return err
		}
		if err := addNodes(c, n.children); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) addCommands(p *flags.Parser) error {
	return addNodes(p, []commandNode{
		{name: "job", help: "submit and follow jobs", children: []commandNode{
			{name: "submit", help: "submit a job", command: &jobSubmit{app: a}},
			{name: "status", help: "show a job", command: &jobStatus{app: a}},
			{name: "cancel", help: "cancel jobs of one failure domain", command: &jobCancel{app: a}},
			{name: "list", help: "list the jobs of a failure domain", command: &jobList{app: a}},
		}},
		{name: "request", help: "send requests", children: []commandNode{
			{name: "send", help: "send a request and print its outcome", command: &requestSend{app: a}},
			{name: "status", help: "show the outcome of a request", command: &requestStatus{app: a}},
		}},
		{name: "ticket", help: "take tickets for requests", children: []commandNode{
			{name: "take", help: "take tickets", command: &ticketTake{app: a}},
		}},
		{name: "preset", help: "operate presets", children: []commandNode{
			{name: "list", help: "list the presets", command: &presetList{app: a}},
			{name: "show", help: "show a preset", command: &presetShow{app: a}},
			{name: "use", help: "put a preset in force", command: &presetUse{app: a}},
			{name: "put", help: "store a preset from a JSON file", command: &presetPut{app: a}},
		}},
		{name: "domain", help: "operate failure domains", children: []commandNode{
			{name: "out", help: "take a failure domain out of service", command: &domainChange{app: a, out: true}},
			{name: "in", help: "bring a failure domain back", command: &domainChange{app: a}},
			{name: "status", help: "show the failure domains", command: &domainStatus{app: a}},
		}},
		{name: "account", help: "show client accounts", children: []commandNode{
			{name: "show", help: "show the use of a client account", command: &accountShow{app: a}},
		}},
		{name: "trace", help: "print what the logs of entry VMs on the users' platform say about a job", command: &traceCommand{app: a}},
		{name: "status", help: "show an entry VM and its members", command: &statusShow{app: a}},
		{name: "demo", help: "run a cluster in this process and show its promises", command: &demoCommand{app: a}},
		{name: "load", help: "send requests and jobs at a fixed rate", command: &loadCommand{app: a}},
		{name: "bench", help: "measure policies, planner rounds and the cost per worker, job and VM", children: a.benchCommands()},
		{name: "standin", help: "run a stand-in of the platform", children: standinCommands()},
	})
}
