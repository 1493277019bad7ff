package ledger

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
)

// TestClosedEpoch guards against a ticket that ran and is reported as not run. This happens if a holder takes a record
// as absent that was removed, that the earlier holder could not write, or that is in a log it could not seal.
func TestClosedEpoch(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Unix(1, 0)
	first, second := model.Epoch{Store: 1}, model.Epoch{Store: 2}
	l := New("a")
	startEpoch := func(e model.Epoch, log []Record, sealed bool, complete ...model.Epoch) {
		l.Reset(e, now)
		l.Replay(log, sealed, complete, now)
	}
	outcome := func(ticket model.Ticket) failure.Outcome {
		d := l.Begin(model.RequestID(ticket.String()), &ticket, 1, now)
		if d.Verdict == Refuse {
			return d.Failure.Outcome
		}
		return d.Record.Outcome
	}
	startEpoch(first, nil, true)
	tickets, _ := l.IssueTickets(2, now)
	spent, unspent := tickets[0], tickets[1]
	intent := l.Begin(model.RequestID(spent.String()), &spent, 1, now).Record
	done, _ := l.Finish(intent, failure.Run, nil, nil, now)
	log := []Record{intent, done, l.FlushedRecord()}

	startEpoch(second, nil, true, first)
	g.Expect(outcome(spent)).To(gomega.Equal(failure.Unknown), "without the last records")
	startEpoch(second, []Record{l.FlushedRecord(), {Rank: Rank{Epoch: first}, Flushed: true}}, false, first)
	g.Expect(outcome(spent)).To(gomega.Equal(failure.Unknown), "without a seal")
	startEpoch(second, log, true, first)
	g.Expect(outcome(unspent)).To(gomega.Equal(failure.NotRun))
	g.Expect(outcome(spent)).To(gomega.Equal(failure.Run))
	now = now.Add(TicketRetention)
	l.Collect(now)
	g.Expect(outcome(spent)).To(gomega.Equal(failure.Unknown), "after collection")
	startEpoch(model.Epoch{Store: 3}, l.Snapshot(), true, first, second)
	g.Expect(outcome(spent)).To(gomega.Equal(failure.Unknown), "after a snapshot")
}

// TestUnsealedKeys guards against a key that runs again under a holder that could not read the log, whatever records
// its peers keep.
func TestUnsealedKeys(t *testing.T) {
	g, now, l := gomega.NewWithT(t), time.Unix(1, 0), New("a")
	l.Reset(model.Epoch{Store: 1, Outage: 1}, now)
	l.Replay(nil, false, nil, now)
	l.AcceptNewKeys()
	d := l.Begin(KeyID("acme", "k"), nil, 1, now)
	g.Expect(d.Verdict).To(gomega.Equal(Refuse))
	g.Expect(d.Failure.Outcome).To(gomega.Equal(failure.Unknown))
}
