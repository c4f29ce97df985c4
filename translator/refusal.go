// Package translator converts values and refusals to the messages that entry VMs
// exchange over the Connect protocol, and back. It is the only place that derives
// status codes from verdicts.
package translator

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// httpStatuses holds the HTTP status of each code whose status does not depend on the
// verdict.
var httpStatuses = map[buckthorndyke.Code]int{
	buckthorndyke.CodeAllotmentExceeded: http.StatusTooManyRequests,
	buckthorndyke.CodeBadRequest:        http.StatusBadRequest,
	buckthorndyke.CodeCrashSuspect:      http.StatusUnprocessableEntity,
	buckthorndyke.CodeDuplicate:         http.StatusConflict,
	buckthorndyke.CodeForbidden:         http.StatusForbidden,
	buckthorndyke.CodeKeyExpired:        http.StatusConflict,
	buckthorndyke.CodeKeyInvalid:        http.StatusBadRequest,
	buckthorndyke.CodeKeyReused:         http.StatusUnprocessableEntity,
	buckthorndyke.CodeModelUnknown:      http.StatusNotFound,
	buckthorndyke.CodeOverloaded:        http.StatusTooManyRequests,
	buckthorndyke.CodeQuarantined:       http.StatusUnprocessableEntity,
	buckthorndyke.CodeServiceUnknown:    http.StatusNotFound,
	buckthorndyke.CodeTooLarge:          http.StatusRequestEntityTooLarge,
	buckthorndyke.CodeUnauthenticated:   http.StatusUnauthorized,
}

// HTTPStatus returns the status code of an HTTP response that reports r. A code
// without a status of its own has 503 if the request has not run, and 502 otherwise.
func HTTPStatus(r *buckthorndyke.RefusalError) int {
	if status, ok := httpStatuses[r.Code()]; ok {
		return status
	}
	if r.Verdict().RetryIsSafe() {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// ConnectError returns the Connect error that reports err to a peer. It has the refusal
// as a detail.
func ConnectError(err error) error {
	r := buckthorndyke.RefusalOf(err)
	code := connect.CodeUnknown
	if r.Verdict().RetryIsSafe() {
		code = connect.CodeUnavailable
	}
	ce := connect.NewError(code, r)
	if detail, err := connect.NewErrorDetail(RefusalToWire(r)); err == nil {
		ce.AddDetail(detail)
	}
	return ce
}

// FromConnectError returns the refusal that a peer reported with err. For an error
// without one, such as that of a broken connection, it returns a refusal with the
// given code and verdict.
func FromConnectError(err error, code buckthorndyke.Code, verdict buckthorndyke.Verdict) *buckthorndyke.RefusalError {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return buckthorndyke.NewRefusal(code, verdict, err.Error())
	}
	for _, detail := range ce.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if r, ok := value.(*wire.Refusal); ok {
			return RefusalFromWire(r)
		}
	}
	return buckthorndyke.NewRefusal(code, verdict, ce.Error())
}

// RefusalFromWire returns the refusal in m.
func RefusalFromWire(m *wire.Refusal) *buckthorndyke.RefusalError {
	verdict := buckthorndyke.ParseVerdict(m.GetVerdict())
	return buckthorndyke.NewRefusal(buckthorndyke.Code(m.GetCode()), verdict, m.GetMessage()).
		WithRetryAfter(buckthorndyke.Millis(m.GetRetryAfterMs()))
}

// RefusalToWire returns the message that carries r.
func RefusalToWire(r *buckthorndyke.RefusalError) *wire.Refusal {
	return &wire.Refusal{
		Code:         string(r.Code()),
		Message:      r.Message(),
		RetryAfterMs: int64(r.RetryAfter()),
		Verdict:      r.Verdict().String(),
	}
}
