package failure

import "net/http"

// Reason is the typed cause of a refusal. Each reason has one counter.
type Reason uint8

// Reasons of refusals.
const (
	Internal Reason = iota
	Malformed
	TooLarge
	NotFound
	UnknownAccount
	NeverFits
	QueueFull
	QuotaExceeded
	RateLimited
	Overloaded
	ConfigUnavailable
	ConfigConflict
	ConfigInvalid
	StoreUnavailable
	NoHolder
	NotHolder
	HomeUnreachable
	Draining
	DeadlineExceeded
	TicketSpent
	TicketForeign
	TicketEpochClosed
	TicketEpochUnknown
	KeyReused
	IntentNotRecorded
	NoExecutor
	ExecutorLost
	ExecutorFailed
	ResponseInvalid
	KeyEpochUnknown
	ResponseExpired
	ExecutorBusy
	IntentFenced
	Unauthorized
	JobGone
	AcceptanceUnknown
	AccountLimit
	RequestTimeout
	BacklogFull
	reasonCount
)

type reasonInfo struct {
	code    string
	status  int
	outcome Outcome
}

var reasons = [reasonCount]reasonInfo{
	Internal:           {"internal", http.StatusInternalServerError, Unknown},
	Malformed:          {"malformed", http.StatusBadRequest, NotRun},
	TooLarge:           {"too_large", http.StatusRequestEntityTooLarge, NotRun},
	NotFound:           {"not_found", http.StatusNotFound, NotRun},
	UnknownAccount:     {"unknown_account", http.StatusForbidden, NotRun},
	NeverFits:          {"never_fits", http.StatusUnprocessableEntity, NotRun},
	QueueFull:          {"queue_full", http.StatusTooManyRequests, NotRun},
	QuotaExceeded:      {"quota_exceeded", http.StatusUnprocessableEntity, NotRun},
	RateLimited:        {"rate_limited", http.StatusTooManyRequests, NotRun},
	Overloaded:         {"overloaded", http.StatusServiceUnavailable, NotRun},
	ConfigUnavailable:  {"config_unavailable", http.StatusServiceUnavailable, NotRun},
	ConfigConflict:     {"config_conflict", http.StatusConflict, NotRun},
	ConfigInvalid:      {"config_invalid", http.StatusUnprocessableEntity, NotRun},
	StoreUnavailable:   {"store_unavailable", http.StatusServiceUnavailable, NotRun},
	NoHolder:           {"no_holder", http.StatusServiceUnavailable, NotRun},
	NotHolder:          {"not_holder", http.StatusMisdirectedRequest, NotRun},
	HomeUnreachable:    {"home_unreachable", http.StatusServiceUnavailable, NotRun},
	Draining:           {"draining", http.StatusServiceUnavailable, NotRun},
	DeadlineExceeded:   {"deadline_exceeded", http.StatusGatewayTimeout, Unknown},
	TicketSpent:        {"ticket_spent", http.StatusConflict, Unknown},
	TicketForeign:      {"ticket_foreign", http.StatusUnprocessableEntity, NotRun},
	TicketEpochClosed:  {"ticket_epoch_closed", http.StatusGone, NotRun},
	TicketEpochUnknown: {"ticket_epoch_unknown", http.StatusConflict, Unknown},
	KeyReused:          {"key_reused", http.StatusConflict, NotRun},
	IntentNotRecorded:  {"intent_not_recorded", http.StatusServiceUnavailable, NotRun},
	NoExecutor:         {"no_executor", http.StatusServiceUnavailable, NotRun},
	ExecutorLost:       {"executor_lost", http.StatusBadGateway, Unknown},
	ExecutorFailed:     {"executor_failed", http.StatusBadGateway, Run},
	ResponseInvalid:    {"response_invalid", http.StatusBadGateway, Unknown},
	KeyEpochUnknown:    {"key_epoch_unknown", http.StatusConflict, Unknown},
	ResponseExpired:    {"response_expired", http.StatusGone, Run},
	ExecutorBusy:       {"executor_busy", http.StatusServiceUnavailable, NotRun},
	IntentFenced:       {"intent_fenced", http.StatusConflict, NotRun},
	Unauthorized:       {"unauthorized", http.StatusUnauthorized, NotRun},
	JobGone:            {"job_gone", http.StatusGone, NotRun},
	AcceptanceUnknown:  {"acceptance_unknown", http.StatusGatewayTimeout, Unknown},
	AccountLimit:       {"account_limit", http.StatusTooManyRequests, NotRun},
	RequestTimeout:     {"request_timeout", http.StatusRequestTimeout, NotRun},
	BacklogFull:        {"backlog_full", http.StatusTooManyRequests, NotRun},
}

// Reasons returns all reasons of refusals.
func Reasons() []Reason {
	out := make([]Reason, reasonCount)
	for i := range out {
		out[i] = Reason(i)
	}
	return out
}

// Code returns the stable code that callers see.
func (r Reason) Code() string { return r.info().code }

// HTTPStatus returns the HTTP status of the failure.
func (r Reason) HTTPStatus() int { return r.info().status }

// Outcome returns the default outcome of the failure.
func (r Reason) Outcome() Outcome { return r.info().outcome }

// String returns the code.
func (r Reason) String() string { return r.Code() }

func (r Reason) info() reasonInfo {
	if r >= reasonCount {
		return reasons[Internal]
	}
	return reasons[r]
}

// ReasonOf returns the reason with the given code, and false if there is none.
func ReasonOf(code string) (Reason, bool) {
	for i, info := range reasons {
		if info.code == code {
			return Reason(i), true
		}
	}
	return Internal, false
}

// GobEncode implements gob.GobEncoder. It encodes the code instead of the number, because numbers may differ between
// the versions that run during a rolling upgrade.
func (r Reason) GobEncode() ([]byte, error) { return []byte(r.Code()), nil }

// GobDecode implements gob.GobDecoder. It decodes a code that this version does not know as Internal.
func (r *Reason) GobDecode(code []byte) error {
	*r, _ = ReasonOf(string(code))
	return nil
}

// RetryReason is the typed cause of a retry. Each retry reason has one counter.
type RetryReason uint8

// Reasons of retries.
const (
	RetryStoreUnavailable RetryReason = iota
	RetryStoreAnswerLost
	RetryElection
	RetryForward
	RetryHolderChanged
	RetryExecutorBusy
	RetryExecutorLost
	RetryExecutorFailed
	RetryResponseInvalid
	RetryWorkerUnreachable
	RetryGangStart
	RetryNoExecutor
	RetryOutcomeQuery
	RetryGangHoldTimeout
	RetryGangRefused
	RetryGangMemberFailed
	RetryGangDomainOut
	RetryWorkerLost
	RetryPreempted
	RetryRoute
	retryReasonCount
)

var retryCodes = [retryReasonCount]string{
	RetryStoreUnavailable:  "store_unavailable",
	RetryStoreAnswerLost:   "store_answer_lost",
	RetryElection:          "election",
	RetryForward:           "forward",
	RetryHolderChanged:     "holder_changed",
	RetryExecutorBusy:      "executor_busy",
	RetryExecutorLost:      "executor_lost",
	RetryExecutorFailed:    "executor_failed",
	RetryResponseInvalid:   "response_invalid",
	RetryWorkerUnreachable: "worker_unreachable",
	RetryGangStart:         "gang_start",
	RetryNoExecutor:        "no_executor",
	RetryOutcomeQuery:      "outcome_query",
	RetryGangHoldTimeout:   "gang_hold_timeout",
	RetryGangRefused:       "gang_refused",
	RetryGangMemberFailed:  "gang_member_failed",
	RetryGangDomainOut:     "gang_domain_out",
	RetryWorkerLost:        "worker_lost",
	RetryPreempted:         "preempted",
	RetryRoute:             "route",
}

// RetryReasons returns all reasons of retries.
func RetryReasons() []RetryReason {
	out := make([]RetryReason, retryReasonCount)
	for i := range out {
		out[i] = RetryReason(i)
	}
	return out
}

// Code returns the stable code of the retry reason.
func (r RetryReason) Code() string {
	if r >= retryReasonCount {
		return "unknown"
	}
	return retryCodes[r]
}
