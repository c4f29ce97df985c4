package standin

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorndyke/buckthorndyke"
	"github.com/buckthorndyke/buckthorndyke/encoder"
	"github.com/buckthorndyke/buckthorndyke/wire"
)

// LogServer serves a log over HTTP.
type LogServer struct {
	httpServer
	log *MemoryLog
}

// NewLogServer returns a server for log that listens on address.
func NewLogServer(address string, log *MemoryLog) *LogServer {
	s := &LogServer{httpServer: newHTTPServer(address), log: log}
	s.mux.HandleFunc("GET /v1/streams/{stream}/records", s.read)
	s.mux.HandleFunc("POST /v1/streams/{stream}/records", s.append)
	handleFaults(&s.httpServer, log.SetFaults)
	handleJournal(&s.httpServer, log.Stats)
	return s
}

func (s *LogServer) append(w http.ResponseWriter, r *http.Request) {
	var in wire.LogAppendRequest
	if err := readBody(r, &in); err != nil {
		writeError(w, err)
		return
	}
	offset, err := s.log.Append(r.Context(), buckthorndyke.Stream(r.PathValue("stream")), in.Data)
	writeMessage(w, &wire.LogAppendResponse{Offset: uint64(offset)}, err)
}

func (s *LogServer) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	wait, err := strconv.ParseInt(r.FormValue("wait-ms"), 10, 64)
	if err != nil {
		writeError(w, badRequest(err))
		return
	}
	stream := buckthorndyke.Stream(r.PathValue("stream"))
	batch, err := s.log.Read(r.Context(), stream, buckthorndyke.Offset(from), buckthorndyke.Millis(wait))
	writeMessage(w, encoder.EncodeBatch(batch), err)
}

// VMListServer serves a VM list over HTTP.
type VMListServer struct {
	httpServer
	list *MemoryVMList
}

// NewVMListServer returns a server for list that listens on address.
func NewVMListServer(address string, list *MemoryVMList) *VMListServer {
	s := &VMListServer{httpServer: newHTTPServer(address), list: list}
	s.mux.HandleFunc("GET /v1/vms", s.get)
	s.mux.HandleFunc("PUT /v1/vms", s.put)
	handleFaults(&s.httpServer, list.SetFaults)
	return s
}

// get sends the list, or 304 Not Modified if the client's ETag is current.
func (s *VMListServer) get(w http.ResponseWriter, r *http.Request) {
	vms, err := s.list.List(r.Context())
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64String(fmt.Sprint(vms)), 16))
	if err == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	writeMessage(w, encoder.EncodeVMs(vms), err)
}

// put replaces the list. Tests that run the fakes as separate processes use it.
func (s *VMListServer) put(w http.ResponseWriter, r *http.Request) {
	var in wire.ListVMsResponse
	err := readBody(r, &in)
	if err == nil {
		err = s.list.Set(r.Context(), encoder.DecodeVMs(&in))
	}
	writeMessage(w, &wire.ListVMsResponse{}, err)
}

// WeightStoreServer serves a weight store over HTTP.
type WeightStoreServer struct {
	httpServer
	store *MemoryWeightStore
}

// NewWeightStoreServer returns a server for store that listens on address.
func NewWeightStoreServer(address string, store *MemoryWeightStore) *WeightStoreServer {
	s := &WeightStoreServer{httpServer: newHTTPServer(address), store: store}
	s.mux.HandleFunc("GET /v1/checkpoints/{model}", s.describe)
	handleFaults(&s.httpServer, store.SetFaults)
	handleJournal(&s.httpServer, store.Stats)
	return s
}

func (s *WeightStoreServer) describe(w http.ResponseWriter, r *http.Request) {
	c, err := s.store.Describe(r.Context(), buckthorndyke.ModelID(r.PathValue("model")))
	writeMessage(w, &wire.DescribeCheckpointResponse{Model: string(c.Model), SizeMb: int32(c.SizeMB)}, err)
}
