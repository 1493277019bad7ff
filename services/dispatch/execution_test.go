package dispatch

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/kernel"
)

// TestLostAttempt guards against an attempt that may have run but is reported as not sent. Only an error that refuses
// the delivery proves that nothing was sent.
func TestLostAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, err := range []error{
		&kernel.MailboxFullError{}, &kernel.TooManyRequestsError{}, &kernel.UnknownServiceError{}, &kernel.StoppedError{},
		failure.New(failure.NoHolder, ""),
	} {
		g.Expect(attemptFromError(err).Sent).To(gomega.BeFalse(), "%T", err)
	}
	for _, err := range []error{
		&kernel.UnansweredError{}, failure.New(failure.HomeUnreachable, "").WithOutcome(failure.Unknown), nil,
	} {
		g.Expect(attemptFromError(err).Sent).To(gomega.BeTrue(), "%T", err)
	}
}
