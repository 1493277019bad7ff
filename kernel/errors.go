package kernel

import "fmt"

// UnknownServiceError reports a message to a name that no service registered.
type UnknownServiceError struct{ Name Name }

func (e *UnknownServiceError) Error() string { return fmt.Sprintf("unknown service %q", e.Name) }

// UnknownService marks the error for callers that do not import this package: no service has the name.
func (e *UnknownServiceError) UnknownService() bool { return true }

// MailboxFullError reports a message refused because the mailbox of the receiver is full.
type MailboxFullError struct {
	Name Name
	Kind string
}

func (e *MailboxFullError) Error() string {
	return fmt.Sprintf("mailbox of service %q is full; refused %s", e.Name, e.Kind)
}

// Overloaded marks the error for callers that do not import this package: the message was refused because a queue
// is full.
func (e *MailboxFullError) Overloaded() bool { return true }

// TooManyRequestsError reports that a service has reached its limit of requests in progress.
type TooManyRequestsError struct{ Name Name }

func (e *TooManyRequestsError) Error() string {
	return fmt.Sprintf("service %q has too many unanswered requests", e.Name)
}

// Overloaded marks the error for callers that do not import this package: the message was refused because the limit
// of requests in progress is reached.
func (e *TooManyRequestsError) Overloaded() bool { return true }

// StoppedError reports a message that was not processed because its receiver has stopped.
type StoppedError struct{ Name Name }

func (e *StoppedError) Error() string { return fmt.Sprintf("service %q has stopped", e.Name) }

// Stopped marks the error for callers that do not import this package: the receiver has stopped.
func (e *StoppedError) Stopped() bool { return true }

// UnansweredError reports a request that gets no reply because the sender or the receiver stopped. The receiver may
// have processed it.
type UnansweredError struct{ Name Name }

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("service %q gave no answer before the stop", e.Name)
}

// PanicError reports a panic in a service or in one of its tasks. It stops the kernel unless the service is a Recoverer.
// A message that was being handled may have been processed in part.
type PanicError struct {
	Name Name
	// Kind is the kind of the message that was being handled, or empty.
	Kind string
	// Task is set if a task of the service panicked.
	Task  bool
	Value any
	Stack string
}

func (e *PanicError) Error() string { return fmt.Sprintf("service %q panicked: %v", e.Name, e.Value) }

// ReplyTypeError reports a reply of another type than the caller expects.
type ReplyTypeError struct {
	Name Name
	Got  Message
}

func (e *ReplyTypeError) Error() string {
	return fmt.Sprintf("service %q answered with unexpected type %T", e.Name, e.Got)
}

// RegistrationError reports an invalid set of services.
type RegistrationError struct {
	Name   Name
	Reason string
}

func (e *RegistrationError) Error() string {
	return fmt.Sprintf("service %q: %s", e.Name, e.Reason)
}

// StartError reports a service whose Start returned an error or panicked.
type StartError struct {
	Name  Name
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("start service %q: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }
