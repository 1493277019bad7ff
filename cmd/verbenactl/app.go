package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/node/client"
)

// globalOptions holds the options of every command.
type globalOptions struct {
	Server []string `long:"server" default:"127.0.0.1:7001" description:"entry VM as IP:port or URL; give it several times to try others after a refusal that did not run"`
	JSON   bool     `long:"json" description:"print JSON"`
}

// app holds the global options and output streams of the commands.
type app struct {
	options     globalOptions
	out, errOut io.Writer
}

func newApp(out, errOut io.Writer) *app { return &app{out: out, errOut: errOut} }

func (a *app) client() *client.Client { return client.New(0, a.options.Server...) }

// get reads a path from the entry VMs and decodes the response into out.
func (a *app) get(path string, out any) error { return a.client().Get(context.Background(), path, out) }

// post sends in to a path of the entry VMs and decodes the response into out.
func (a *app) post(path string, in, out any) error {
	return a.client().Post(context.Background(), path, in, out)
}

// failureBody is the JSON form of a failed command.
type failureBody struct {
	Error   string          `json:"error"`
	Code    string          `json:"code,omitempty"`
	Outcome failure.Outcome `json:"outcome,omitempty"`
	Exit    int             `json:"exit"`
}

// printError prints an error and returns its exit code. Help is printed to the standard output with exit code 0.
func (a *app) printError(err error) int {
	if flags.WroteHelp(err) {
		fmt.Fprintln(a.out, err)
		return 0
	}
	body := failureBody{Error: err.Error(), Outcome: outcomeOf(err), Exit: exitCode(err)}
	var e *failure.Error
	if errors.As(err, &e) {
		body.Code = e.Reason.Code()
	}
	if a.options.JSON {
		_ = json.NewEncoder(a.errOut).Encode(body)
		return body.Exit
	}
	fmt.Fprintln(a.errOut, "error:", body.Error)
	if body.Outcome != "" {
		fmt.Fprintln(a.errOut, "outcome:", body.Outcome)
	}
	return body.Exit
}

// printResult prints v as JSON if the option --json is set, and the rows as a table otherwise.
func (a *app) printResult(v any, rows ...[]any) error {
	if a.options.JSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
