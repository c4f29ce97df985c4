package buckthorndyke

import (
	"context"
	"net/http"
)

// ServiceCall is a call of a plain service.
type ServiceCall struct {
	Body    []byte
	Header  http.Header
	Method  string
	Path    string
	Query   string
	Request RequestID
	Service ServiceID
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Body   []byte
	Header http.Header
	Status int
}

// Service reaches the backend servers of plain services.
type Service interface {
	// Call sends call to the backend server at address, once. An error's verdict
	// is NotRun only if no byte of the call can have left this process.
	Call(ctx context.Context, address string, call ServiceCall) (ServiceResponse, error)
}
