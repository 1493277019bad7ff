package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/node/trace"
)

// noLinesError reports a job that no log file mentions.
type noLinesError struct{ id string }

func (e *noLinesError) Error() string { return "no line about job " + e.id }

type traceCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"identifier of the job"`
		Files []string `positional-arg-name:"FILE" description:"log files of entry VMs; the standard input if there is none"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (o *traceCommand) Execute([]string) error {
	if o.Args.ID == "" {
		return &usageError{"the identifier of a job is missing"}
	}
	c := trace.NewCollector(o.Args.ID)
	if len(o.Args.Files) == 0 {
		if err := c.Read(os.Stdin); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	for _, name := range o.Args.Files {
		if err := readLog(c, name); err != nil {
			return errors.Wrapf(err, "log file %s", name)
		}
	}
	lines := c.Lines()
	if len(lines) == 0 {
		return &noLinesError{o.Args.ID}
	}
	rows := make([][]any, len(lines))
	for i, l := range lines {
		rows[i] = []any{l}
	}
	return o.app.printResult(lines, rows...)
}

func readLog(c *trace.Collector, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return c.Read(f)
}
