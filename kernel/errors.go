package kernel

import "fmt"

// UnknownServiceError reports a message to a name that no service registered.
type UnknownServiceError struct{ Name Name }

func (e *UnknownServiceError) Error() string { return fmt.Sprintf("unknown service %q", e.Name) }

// UnknownService reports that the message has no receiver, for callers that do not import this package.
func (e *UnknownServiceError) UnknownService() bool { return true }

// MailboxFullError reports a message refused because the mailbox of the receiver is full.
type MailboxFullError struct {
	Name Name
	Kind string
}

func (e *MailboxFullError) Error() string {
	return fmt.Sprintf("mailbox of service %q is full; refused %s", e.Name, e.Kind)
}

// Overloaded reports that the message was refused for lack of room, for callers that do not import this package.
func (e *MailboxFullError) Overloaded() bool { return true }

// TooManyRequestsError reports that a service has reached its bound of unanswered requests.
type TooManyRequestsError struct{ Name Name }

func (e *TooManyRequestsError) Error() string {
	return fmt.Sprintf("service %q has too many unanswered requests", e.Name)
}

// Overloaded reports that the message was refused for lack of room, for callers that do not import this package.
func (e *TooManyRequestsError) Overloaded() bool { return true }

// StoppedError reports a message that a stopping service did not process.
type StoppedError struct{ Name Name }

func (e *StoppedError) Error() string { return fmt.Sprintf("service %q has stopped", e.Name) }

// Stopped reports that the message was refused by a stopping service, for callers that do not import this package.
func (e *StoppedError) Stopped() bool { return true }

// UnansweredError reports a message whose answer will not arrive because a service stopped. The message
// may have been processed.
type UnansweredError struct{ Name Name }

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("service %q gave no answer before the stop", e.Name)
}

// PanicError reports a panic in a service or in one of its tasks. It stops the kernel.
type PanicError struct {
	Name  Name
	Value any
	Stack string
}

func (e *PanicError) Error() string { return fmt.Sprintf("service %q panicked: %v", e.Name, e.Value) }

// ReplyTypeError reports an answer of another type than the caller asked for.
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

// StartError reports a service whose Start failed.
type StartError struct {
	Name  Name
	Cause error
}

func (e *StartError) Error() string { return fmt.Sprintf("start service %q: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }
