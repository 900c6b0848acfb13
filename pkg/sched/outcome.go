package sched

import "net/http"

// Outcome says whether a request ran. The zero value is Unknown, so that a
// missing outcome is never taken for NotRun.
type Outcome uint8

// The outcomes.
const (
	// Unknown means that bytes of the request may have reached a target and
	// that no complete answer came back. A request with an unknown outcome is
	// retried only if it is idempotent.
	Unknown Outcome = iota
	// Ran means that a target answered the request completely.
	Ran
	// NotRun means that no byte of the request reached a target, or that the
	// target refused it explicitly.
	NotRun
)

// String returns the name that answers to callers carry, in Pascal case.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "Ran"
	case NotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

// ParseOutcome parses the form that [Outcome.String] returns. Anything else
// is Unknown.
func ParseOutcome(s string) Outcome {
	switch s {
	case "Ran":
		return Ran
	case "NotRun":
		return NotRun
	default:
		return Unknown
	}
}

// Reason says why a request, an edit or a task was refused or failed. Each
// reason is counted in the metrics.
type Reason string

// Reasons for refusing or failing a request.
const (
	ReasonUnknownService   Reason = "UnknownService"
	ReasonUnknownJob       Reason = "UnknownJob"
	ReasonServiceStopped   Reason = "ServiceStopped"
	ReasonServiceDraining  Reason = "ServiceDraining"
	ReasonDependencyDown   Reason = "DependencyDown"
	ReasonQuotaExceeded    Reason = "QuotaExceeded"
	ReasonQueueFull        Reason = "QueueFull"
	ReasonConcurrencyLimit Reason = "ConcurrencyLimit"
	ReasonDeadlineTooShort Reason = "DeadlineTooShort"
	ReasonDeadlineExceeded Reason = "DeadlineExceeded"
	ReasonNoCapacity       Reason = "NoCapacity"
	ReasonNoTarget         Reason = "NoTarget"
	ReasonNoOwner          Reason = "NoOwner"
	ReasonNotOwner         Reason = "NotOwner"
	ReasonStoreUnavailable Reason = "StoreUnavailable"
	ReasonShuttingDown     Reason = "ShuttingDown"
	ReasonTargetRefused    Reason = "TargetRefused"
	ReasonBodyTooLarge     Reason = "BodyTooLarge"
	ReasonHeaderTooLarge   Reason = "HeaderTooLarge"
	ReasonBadRequest       Reason = "BadRequest"
	ReasonKeyReused        Reason = "KeyReused"
	ReasonAnswerExpired    Reason = "AnswerExpired"
	ReasonTargetTimeout    Reason = "TargetTimeout"
	ReasonTargetBroken     Reason = "TargetBroken"
	ReasonPeerBroken       Reason = "PeerBroken"
	ReasonFirstCallUnknown Reason = "FirstCallUnknown"
	// ReasonKeyOwnerUnavailable means that no owner of the shard of a key or a
	// job answered. This call did not run, but an earlier one with the same key
	// may have run, so the outcome for the key is unknown.
	ReasonKeyOwnerUnavailable Reason = "KeyOwnerUnavailable"
)

// reasonInfo is what a refusal with a reason tells the caller.
type reasonInfo struct {
	status  int
	outcome Outcome
	retry   bool
}

var reasons = map[Reason]reasonInfo{
	ReasonUnknownService:   {http.StatusNotFound, NotRun, false},
	ReasonUnknownJob:       {http.StatusNotFound, NotRun, false},
	ReasonServiceStopped:   {http.StatusServiceUnavailable, NotRun, false},
	ReasonServiceDraining:  {http.StatusServiceUnavailable, NotRun, false},
	ReasonDependencyDown:   {http.StatusServiceUnavailable, NotRun, true},
	ReasonQuotaExceeded:    {http.StatusTooManyRequests, NotRun, true},
	ReasonQueueFull:        {http.StatusTooManyRequests, NotRun, true},
	ReasonConcurrencyLimit: {http.StatusTooManyRequests, NotRun, true},
	ReasonDeadlineTooShort: {http.StatusGatewayTimeout, NotRun, false},
	ReasonDeadlineExceeded: {http.StatusGatewayTimeout, NotRun, false},
	ReasonNoCapacity:       {http.StatusServiceUnavailable, NotRun, true},
	ReasonNoTarget:         {http.StatusServiceUnavailable, NotRun, true},
	ReasonNoOwner:          {http.StatusServiceUnavailable, NotRun, true},
	ReasonNotOwner:         {http.StatusServiceUnavailable, NotRun, true},
	ReasonStoreUnavailable: {http.StatusServiceUnavailable, NotRun, true},
	ReasonShuttingDown:     {http.StatusServiceUnavailable, NotRun, true},
	ReasonTargetRefused:    {http.StatusServiceUnavailable, NotRun, true},
	ReasonBodyTooLarge:     {http.StatusRequestEntityTooLarge, NotRun, false},
	ReasonHeaderTooLarge:   {http.StatusRequestHeaderFieldsTooLarge, NotRun, false},
	ReasonBadRequest:       {http.StatusBadRequest, NotRun, false},
	ReasonKeyReused:        {http.StatusUnprocessableEntity, NotRun, false},
	ReasonAnswerExpired:    {http.StatusConflict, Ran, false},
	ReasonTargetTimeout:    {http.StatusGatewayTimeout, Unknown, false},
	ReasonTargetBroken:     {http.StatusBadGateway, Unknown, false},
	ReasonPeerBroken:       {http.StatusBadGateway, Unknown, false},
	ReasonFirstCallUnknown: {http.StatusConflict, Unknown, false},

	ReasonKeyOwnerUnavailable: {http.StatusServiceUnavailable, Unknown, true},
}

// Status returns the HTTP status of a refusal with this reason.
func (r Reason) Status() int {
	if i, ok := reasons[r]; ok {
		return i.status
	}
	return http.StatusInternalServerError
}

// Outcome returns the outcome that a refusal with this reason reports.
// An unregistered reason is Unknown.
func (r Reason) Outcome() Outcome { return reasons[r].outcome }

// Retryable reports whether the request may succeed if the caller sends it
// again later.
func (r Reason) Retryable() bool { return reasons[r].retry }
