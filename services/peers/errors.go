package peers

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// translate maps errors of the kernel to failures. A refused message was not processed.
func translate(err error) error {
	var full *kernel.MailboxFullError
	var stopped *kernel.StoppedError
	var unknown *kernel.UnknownServiceError
	switch {
	case errors.As(err, &full):
		return failure.New(failure.Overloaded, "%v", err)
	case errors.As(err, &stopped):
		f := failure.New(failure.Draining, "%v", err)
		f.RetryElsewhere = true
		return f
	case errors.As(err, &unknown):
		return failure.New(failure.Internal, "%v", err).WithOutcome(failure.NotRun)
	case errors.Is(err, context.DeadlineExceeded):
		return failure.New(failure.DeadlineExceeded, "%v", err)
	default:
		return err
	}
}
