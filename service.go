package buckthorndyke

import (
	"context"
	"net/http"
)

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Body    []byte
	Header  http.Header
	Method  string
	Path    string
	Query   string
	Request RequestID
	Service ServiceID
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Body   []byte
	Header http.Header
	Status int
}

// Service sends calls to the backend servers of plain services.
type Service interface {
	// Call sends call once to the backend server at address. The verdict of an error
	// is NotRun only if no byte of the call can have left this process.
	Call(ctx context.Context, address string, call ServiceCall) (ServiceResponse, error)
}
