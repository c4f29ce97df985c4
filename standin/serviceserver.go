package standin

import (
	"io"
	"maps"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
)

// ServiceServer serves a plain service over HTTP.
type ServiceServer struct {
	httpServer
	id      buckthorndyke.ServiceID
	service *MemoryService
}

// NewServiceServer returns a server for the service with the given id that listens
// on address. Servers of one MemoryService share its journal.
func NewServiceServer(address string, id buckthorndyke.ServiceID, service *MemoryService) *ServiceServer {
	s := &ServiceServer{httpServer: newHTTPServer(address), id: id, service: service}
	s.mux.HandleFunc("/", s.call)
	handleFaults(&s.httpServer, service.SetFaults)
	handleJournal(&s.httpServer, service.Journal)
	return s
}

func (s *ServiceServer) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	address, _ := r.Context().Value(http.LocalAddrContextKey).(interface{ String() string })
	response, err := s.service.Call(r.Context(), address.String(), buckthorndyke.ServiceCall{
		Body: body, Header: r.Header, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Request: buckthorndyke.RequestID(r.Header.Get(encoder.RequestHeader)), Service: s.id,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	maps.Copy(w.Header(), response.Header)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
