// Package message defines the messages that services and front ends exchange. They are independent of the
// transport; HTTP, net/rpc and the command line translate to and from them.
package message

import "encoding/gob"

func init() {
	// gob sends the registered name with every message; the default would be the import path.
	for _, m := range forwardable {
		gob.RegisterName(m.Kind(), m)
	}
}

// forwardable lists the messages that entry VMs send to each other.
var forwardable = []interface{ Kind() string }{
	JobSubmit{},
	JobCancel{},
	JobStatus{},
	JobList{},
	JobReply{},
	JobsReply{},
	AccountShow{},
	AccountReply{},
	TicketIssue{},
	TicketsReply{},
	RequestSend{},
	RequestStatus{},
	RequestReply{},
	Attempt{},
	AttemptDone{},
	IntentRecord{},
	IntentQuery{},
	IntentReply{},
	ConfigGet{},
	ConfigPropose{},
	ConfigReply{},
	ConfigPull{},
	ConfigPulled{},
	JobAccept{},
	JobWithdraw{},
	JobAcceptReply{},
	TransferDone{},
	Heartbeat{},
	HeartbeatReply{},
	Done{},
	SubmitReply{},
	StateReply{},
	WaitingReply{},
	JobStored{},
	JobCancelled{},
	StateQuery{},
	WaitingQuery{},
	AcceptJob{},
	AcceptCancel{},
	ResignHolder{},
}

// Done acknowledges a message that has no other result.
type Done struct{}

// Kind implements kernel.Message.
func (Done) Kind() string { return "done" }
