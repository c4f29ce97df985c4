package standin

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// EngineServer serves an engine over HTTP and streams tokens as server-sent events.
type EngineServer struct {
	httpServer
	engine *MemoryEngine
}

// NewEngineServer returns a server for engine that listens on address.
func NewEngineServer(address string, engine *MemoryEngine) *EngineServer {
	s := &EngineServer{engine: engine, httpServer: newHTTPServer(address)}
	s.mux.HandleFunc("DELETE /v1/jobs/{job}", s.cancel)
	s.mux.HandleFunc("POST /v1/jobs", s.generate)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("POST /crash", s.crash)
	handleFaults(&s.httpServer, engine.SetFaults)
	handleJournal(&s.httpServer, engine.Journal)
	return s
}

func (s *EngineServer) cancel(w http.ResponseWriter, r *http.Request) {
	if err := s.engine.Cancel(r.Context(), buckthorndyke.JobID(r.PathValue("job"))); err != nil {
		writeError(w, err)
	}
}

func (s *EngineServer) crash(w http.ResponseWriter, r *http.Request) {
	if err := s.engine.Crash(r.Context()); err != nil {
		writeError(w, err)
	}
}

func (s *EngineServer) generate(w http.ResponseWriter, r *http.Request) {
	var in wire.EngineJobRequest
	if err := readBody(r, &in); err != nil {
		writeError(w, err)
		return
	}
	stream, err := s.engine.stream(r.Context(), encoder.DecodeJob(&in))
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = stream.Close() }()
	w.Header().Set("Content-Type", "text/event-stream")
	if err := s.sendTokens(w, r, stream); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *EngineServer) order(w http.ResponseWriter, r *http.Request) {
	var in wire.EngineOrderRequest
	if err := readBody(r, &in); err != nil {
		writeError(w, err)
		return
	}
	state, err := s.engine.Order(r.Context(), encoder.DecodeOrder(&in))
	writeMessage(w, &wire.EngineOrderResponse{State: string(state)}, err)
}

// sendTokens sends the tokens of a stream as they arrive. It returns an error if the
// stream ends before its last token.
func (s *EngineServer) sendTokens(w http.ResponseWriter, r *http.Request, stream *memoryStream) error {
	flusher := http.NewResponseController(w)
	for {
		if err := flusher.Flush(); err != nil {
			return err
		}
		item, err := stream.next(r.Context())
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		token := item.token
		data, err := encoder.EncodeJSON(&wire.EngineToken{
			Index: int32(token.Index), Job: string(item.job), Last: token.Last, Text: token.Text,
		})
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return err
		}
	}
}

func (s *EngineServer) status(w http.ResponseWriter, r *http.Request) {
	status, err := s.engine.Status(r.Context())
	writeMessage(w, encoder.EncodeEngineStatus(status), err)
}
