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

// globals are the options of every command.
type globals struct {
	Server []string `long:"server" default:"127.0.0.1:7001" description:"entry VM as IP:port or URL; give it several times to try others after a refusal that did not run"`
	JSON   bool     `long:"json" description:"print JSON"`
}

// app is what the commands share.
type app struct {
	options     globals
	out, errOut io.Writer
}

func newApp(out, errOut io.Writer) *app { return &app{out: out, errOut: errOut} }

func (a *app) client() *client.Client { return client.New(0, a.options.Server...) }

// get reads a path from the entry VMs.
func (a *app) get(path string, out any) error { return a.client().Get(context.Background(), path, out) }

// post sends a call to the entry VMs.
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

// fail prints an error and returns its exit code. Help is not an error.
func (a *app) fail(err error) int {
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

// show prints v as JSON, or the rows as a table.
func (a *app) show(v any, rows ...[]any) error {
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
