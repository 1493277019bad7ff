package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Ticket permits one request. Only the holder of its failure domain can spend it.
type Ticket struct {
	Domain FailureDomain `json:"domain"`
	Epoch  Epoch         `json:"epoch"`
	Seq    uint64        `json:"seq"`
}

// String returns the ticket as "domain:store.outage:seq".
func (t Ticket) String() string { return fmt.Sprintf("%s:%s:%d", t.Domain, t.Epoch, t.Seq) }

// TicketError reports a malformed ticket.
type TicketError struct{ Text string }

func (e *TicketError) Error() string { return fmt.Sprintf("malformed ticket %q", e.Text) }

// ParseTicket parses the form of Ticket.String. It returns a *TicketError for any other text.
func ParseTicket(s string) (Ticket, error) {
	malformed := &TicketError{Text: s}
	parts := strings.Split(s, ":")
	if len(parts) != 3 || parts[0] == "" {
		return Ticket{}, malformed
	}
	store, outage, ok := strings.Cut(parts[1], ".")
	if !ok {
		return Ticket{}, malformed
	}
	var n [3]uint64
	for i, p := range []string{store, outage, parts[2]} {
		v, err := strconv.ParseUint(p, 10, 64)
		if err != nil || strconv.FormatUint(v, 10) != p {
			return Ticket{}, malformed
		}
		n[i] = v
	}
	return Ticket{Domain: FailureDomain(parts[0]), Epoch: Epoch{Store: n[0], Outage: n[1]}, Seq: n[2]}, nil
}

// Request is a short call to an executor.
type Request struct {
	// ID identifies the request: the text form of its ticket or of its idempotency key.
	ID      RequestID `json:"id"`
	Account AccountID `json:"account"`
	// Service is the operation that the executor runs.
	Service string `json:"service"`
	// Repeatable permits the system to run the request more than once.
	Repeatable bool   `json:"repeatable"`
	Payload    []byte `json:"payload,omitempty"`
	// Deadline is the time after which the caller no longer waits.
	Deadline time.Time `json:"deadline"`
}

// Response is an executor's complete response to one attempt of a request.
type Response struct {
	Request RequestID `json:"request"`
	Attempt int       `json:"attempt"`
	Body    []byte    `json:"body,omitempty"`
}
