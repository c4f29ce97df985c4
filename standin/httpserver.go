package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/mailer"
)

// Limits of the fakes' HTTP servers.
const (
	maxRequestBytes   = 16 << 20
	readHeaderTimeout = 10 * buckthorndyke.Second
)

// httpServer is a task that serves a handler over HTTP.
type httpServer struct {
	// address is the address to listen on. Once the server listens it is the bound
	// address, with the port that the system chose for port 0.
	address         string
	addressRequests *mailer.Mailbox[mailer.Reply[string]]
	mux             *http.ServeMux
}

// newHTTPServer returns a server that listens on address, an IP address and port.
func newHTTPServer(address string) httpServer {
	return httpServer{
		address: address, addressRequests: mailer.NewMailbox[mailer.Reply[string]](), mux: http.NewServeMux(),
	}
}

// Address waits until the server listens and returns the bound address.
func (s *httpServer) Address(ctx context.Context) (string, error) {
	return mailer.Ask(ctx, s.addressRequests, func(r mailer.Reply[string]) mailer.Reply[string] { return r })
}

// Serve listens and serves until ctx ends, and then closes all connections. It
// implements suture.Service.
func (s *httpServer) Serve(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	server := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           http.MaxBytesHandler(s.mux, maxRequestBytes),
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
	}
	defer func() { _ = server.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case reply := <-s.addressRequests.Receive():
			reply.Answer(s.address)
		}
	}
}

// handleFaults adds the endpoint POST /faults, which replaces the injected faults.
func handleFaults[F any](s *httpServer, setFaults func(context.Context, F) error) {
	s.mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults F
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			writeError(w, badRequest(err))
			return
		}
		if err := setFaults(r.Context(), faults); err != nil {
			writeError(w, err)
		}
	})
}

// handleJournal adds the endpoint GET /journal, which returns what the fake has done.
func handleJournal[J any](s *httpServer, read func(context.Context) (J, error)) {
	s.mux.HandleFunc("GET /journal", func(w http.ResponseWriter, r *http.Request) {
		j, err := read(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(j)
	})
}

// badRequest returns the refusal of a request that cannot be decoded.
func badRequest(err error) error {
	return buckthorndyke.NewRefusal(buckthorndyke.CodeBadRequest, buckthorndyke.NotRun, err.Error())
}

// readBody decodes the JSON body of a request into in.
func readBody(r *http.Request, in proto.Message) error {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return badRequest(err)
	}
	if err := encoder.DecodeJSON(body, in); err != nil {
		return badRequest(err)
	}
	return nil
}

// writeError responds with an error. If the request may have run it aborts the
// connection instead, as if the response were lost.
func writeError(w http.ResponseWriter, err error) {
	refusal := buckthorndyke.RefusalOf(err)
	if refusal.Verdict() != buckthorndyke.NotRun {
		panic(http.ErrAbortHandler)
	}
	body, err := encoder.EncodeJSON(encoder.EncodeRefusal(refusal))
	if err != nil {
		panic(errors.Join(http.ErrAbortHandler, err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(encoder.VerdictHeader, refusal.Verdict().String())
	w.WriteHeader(status(refusal.Code()))
	_, _ = w.Write(body)
}

// writeMessage responds with out, or with err if that is not nil.
func writeMessage(w http.ResponseWriter, out proto.Message, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := encoder.EncodeJSON(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// status returns the HTTP status code for a refusal's code.
func status(code buckthorndyke.Code) int {
	switch code {
	case buckthorndyke.CodeBadRequest:
		return http.StatusBadRequest
	case buckthorndyke.CodeModelUnknown:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}
