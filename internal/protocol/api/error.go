package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Run states whether the request's work ran.
type Run string

// Values of Run.
const (
	RunNo      Run = "no"
	RunYes     Run = "yes"
	RunUnknown Run = "unknown"
)

// Code is the stable name of an error.
type Code string

// Codes of errors.
const (
	CodeBadRequest        Code = "bad_request"
	CodeTooLarge          Code = "too_large"
	CodeUnauthorized      Code = "unauthorized"
	CodeForbidden         Code = "forbidden"
	CodeUnknownDeployment Code = "unknown_deployment"
	CodeUnknownService    Code = "unknown_service"
	CodeKeyMissing        Code = "key_missing"
	CodeKeyMalformed      Code = "key_malformed"
	CodeKeyExpired        Code = "key_expired"
	CodeKeyEarly          Code = "key_early"
	CodeKeyMismatch       Code = "key_mismatch"
	CodeOverloaded        Code = "overloaded"
	CodeLedgerUnavailable Code = "ledger_unavailable"
	CodeInProgress        Code = "in_progress"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeEndpointFailed    Code = "endpoint_failed"
	CodeCrashing          Code = "request_crashes_endpoints"
	CodeDeadline          Code = "deadline_exceeded"
	CodeStopping          Code = "stopping"
	CodeNotReady          Code = "not_ready"
	CodeTicketInvalid     Code = "ticket_invalid"
	CodeTicketOvertaken   Code = "ticket_overtaken"
	CodeTicketReused      Code = "ticket_number_reused"
	CodePlatform          Code = "platform_unavailable"
	CodeNotFound          Code = "not_found"
)

// Error is an error that the system itself reports, and the body of the answer with which it does so.
type Error struct {
	Status    int    `json:"-"`
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	Run       Run    `json:"run"`
	// RetryAt is the time at which the caller should retry; the answer's headers carry the time that remains until then.
	RetryAt time.Time `json:"-"`
}

// Error returns the code, the message and whether the work ran.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (run: %s)", e.Code, e.Message, e.Run) }

// NewError returns an error whose message is formatted with fmt.Sprintf.
func NewError(status int, code Code, run Run, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Run: run, Message: fmt.Sprintf(format, args...)}
}

// WithRetry sets the time at which the caller should retry, and returns the error.
func (e *Error) WithRetry(at time.Time) *Error {
	e.RetryAt = at
	return e
}

// Headers of requests and answers.
const (
	HeaderKey            = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRun            = "Gypsum-Run"
	HeaderRequestID      = "Gypsum-Request-Id"
	HeaderReplayed       = "Gypsum-Replayed"
)

// Write sends the error as an answer.
func (e *Error) Write(w http.ResponseWriter, now time.Time) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(e.Run))
	if !e.RetryAt.IsZero() {
		h.Set("Retry-After", RetryAfterSeconds(e.RetryAt.Sub(now)))
		h.Set("Retry-After-Ms", strconv.FormatInt(max(e.RetryAt.Sub(now).Milliseconds(), 1), 10))
	}
	// Encoding an Error never fails: only strings of it are encoded.
	body, _ := json.Marshal(struct {
		Error *Error `json:"error"`
	}{e})
	body = append(body, '\n')
	// With its length, an answer is complete before the handler returns.
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status)
	// The error is ignored, since it means that the caller has disconnected.
	_, _ = w.Write(body)
}

// RetryAfterSeconds returns a wait rounded up to whole seconds, at least one, as the Retry-After header requires integers.
func RetryAfterSeconds(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
