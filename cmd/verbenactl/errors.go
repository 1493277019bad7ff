package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/node/client"
)

// Exit codes of verbenactl.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitNotRun   = 3
	exitUnknown  = 4
	exitConflict = 5
	exitPromise  = 6
)

const exitCodesHelp = `Exit codes: 0 success, 1 failure, 2 usage, 3 refused and not run, 4 outcome unknown, 5 conflict, ` +
	`6 broken promise in the demo.`

// jobError reports a job that did not succeed.
type jobError struct{ job model.Job }

func (e *jobError) Error() string {
	return fmt.Sprintf("job %s ended as %s: %s", e.job.ID, e.job.State, e.job.Reason)
}

// requestError reports a failed request with its ticket or key, with which the caller can query the outcome.
type requestError struct {
	id    string
	cause error
}

func (e *requestError) Error() string { return fmt.Sprintf("request %s: %v", e.id, e.cause) }

// Unwrap returns the cause.
func (e *requestError) Unwrap() error { return e.cause }

// noTicketError reports a successful call for tickets whose response contains none.
type noTicketError struct{}

func (*noTicketError) Error() string { return "the entry VM gave no ticket" }

// missingPresetError reports a preset that the configuration does not contain.
type missingPresetError struct{ name string }

func (e *missingPresetError) Error() string { return fmt.Sprintf("no preset %q", e.name) }

// usageError reports flags that are invalid or exclude each other.
type usageError struct{ detail string }

func (e *usageError) Error() string { return e.detail }

// exitCode returns the exit code of a failed command.
func exitCode(err error) int {
	var f *flags.Error
	var u *usageError
	var e *failure.Error
	var t *client.TransportError
	var d *demoError
	switch {
	case errors.As(err, &f), errors.As(err, &u):
		return exitUsage
	case errors.As(err, &d) && d.broken:
		return exitPromise
	case errors.As(err, &e):
		return failureExitCode(e)
	case errors.As(err, &t) && t.Outcome == failure.NotRun:
		return exitNotRun
	case errors.As(err, &t):
		return exitUnknown
	default:
		return exitFailure
	}
}

func failureExitCode(e *failure.Error) int {
	switch {
	case e.Reason == failure.ConfigConflict, e.Reason == failure.KeyReused:
		return exitConflict
	case e.Outcome == failure.NotRun:
		return exitNotRun
	case e.Outcome == failure.Unknown:
		return exitUnknown
	default:
		return exitFailure
	}
}

// outcomeOf returns the outcome that an error of the entry VM or of the transport carries, or "" for other errors.
func outcomeOf(err error) failure.Outcome {
	var e *failure.Error
	var t *client.TransportError
	switch {
	case errors.As(err, &e):
		return e.Outcome
	case errors.As(err, &t):
		return t.Outcome
	default:
		return ""
	}
}
