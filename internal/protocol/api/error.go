package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Run says whether the request's work ran.
type Run string

// Words on a request's work.
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

// Error is the body of every answer that is not the work's own.
type Error struct {
	Status    int    `json:"-"`
	Code      Code   `json:"code"`
	Message   string `json:"message"`
	RequestID string `json:"request_id,omitempty"`
	Run       Run    `json:"run"`
	// RetryAt is when the caller should come back; the wire carries the time that remains.
	RetryAt time.Time `json:"-"`
}

// Error returns code and message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s (run: %s)", e.Code, e.Message, e.Run) }

// NewError returns an error with a formatted message.
func NewError(status int, code Code, run Run, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Run: run, Message: fmt.Sprintf(format, args...)}
}

// WithRetry returns the error with a time to come back.
func (e *Error) WithRetry(at time.Time) *Error {
	e.RetryAt = at
	return e
}

// Headers of this system.
const (
	HeaderKey            = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRun            = "Gypsum-Run"
	HeaderRequestID      = "Gypsum-Request-Id"
	HeaderReplayed       = "Gypsum-Replayed"
)

// Write sends the error.
func (e *Error) Write(w http.ResponseWriter, now time.Time) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRun, string(e.Run))
	if !e.RetryAt.IsZero() {
		h.Set("Retry-After", RetryAfterSeconds(e.RetryAt.Sub(now)))
		h.Set("Retry-After-Ms", strconv.FormatInt(max(e.RetryAt.Sub(now).Milliseconds(), 1), 10))
	}
	w.WriteHeader(e.Status)
	// A caller that has gone needs no error.
	_ = json.NewEncoder(w).Encode(struct {
		Error *Error `json:"error"`
	}{e})
}

// RetryAfterSeconds rounds a wait up to whole seconds, as the header asks.
func RetryAfterSeconds(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
