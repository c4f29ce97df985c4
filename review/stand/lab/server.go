package lab

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Execution is one run of a request by a server.
type Execution struct {
	ID, Method, Server, Service, Target string
}

// Server is a stand-in of a server. It reads a whole request and then runs it.
type Server struct {
	Address, ID, Service string

	mu   sync.Mutex
	note func(format string, args ...any)
	run  func(w http.ResponseWriter, r *http.Request)
	runs []Execution
}

// StartServer starts a server on a free loopback port and lists it in the store. It calls
// run for each request that it runs, with its id and its signature already set in the
// response's header.
func (r *Run) StartServer(
	s *Store, id, service, zone string, slots int, extra map[string]any, run func(w http.ResponseWriter, r *http.Request),
) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	out := &Server{Address: l.Addr().String(), ID: id, Service: service, note: r.Note, run: run}
	go func() { _ = http.Serve(l, http.HandlerFunc(out.serve)) }()
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			entry := map[string]any{
				"address": out.Address, "born": born, "coldLeftMs": 0, "seq": seq, "service": service, "slots": slots,
				"state": "ready", "version": "v1", "zone": zone,
			}
			for k, v := range extra {
				entry[k] = v
			}
			s.Put("keyed.servers", id, entry)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	r.Note("server %s of service %s serves at %s", id, service, out.Address)
	return out, nil
}

// Runs returns the requests that the server ran.
func (s *Server) Runs() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.runs...)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	e := Execution{ID: id, Method: r.Method, Server: s.ID, Service: s.Service, Target: r.RequestURI}
	s.mu.Lock()
	s.runs = append(s.runs, e)
	s.mu.Unlock()
	s.note("server %s (%s) runs %s: %s %s, Deadline-Ms %s", s.ID, s.Service, id, r.Method, r.RequestURI, r.Header.Get("Deadline-Ms"))
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+s.ID+"."+id)
	s.run(w, r)
}
