package ledger_test

import (
	"fmt"
	"time"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/ledger"
)

// A ticket runs once. A second send of the same content gets the recorded outcome, other content is refused.
func ExampleLedger() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	l := ledger.New("north")
	l.Reset(model.Epoch{Store: 1}, now)
	l.Replay(nil, true, nil, now)
	tickets, _ := l.IssueTickets(1, now)
	id := model.RequestID(tickets[0].String())
	content := ledger.Fingerprint(model.Request{Account: "acme", Service: "certificate", Payload: []byte("batch 12")})

	d := l.Begin(id, &tickets[0], content, now)
	fmt.Println("first send starts:", d.Verdict == ledger.Start)
	// The caller makes d.Record durable, sends the request and reports the end.
	r, _ := l.Finish(d.Record, failure.Run, []byte("issued"), nil, now)
	fmt.Println("outcome to make durable:", r.Outcome)

	d = l.Begin(id, &tickets[0], content, now)
	fmt.Printf("second send is answered: %v %s\n", d.Verdict == ledger.Answer, d.Record.Body)
	d = l.Begin(id, &tickets[0], content+1, now)
	fmt.Println("other content:", d.Failure)
	// Output:
	// first send starts: true
	// outcome to make durable: run
	// second send is answered: true issued
	// other content: ticket_spent: request north:1.0:1 was sent with other content
}
