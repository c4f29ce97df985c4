// Package lab holds small stand-ins of the platform for the review's scripts: the metadata
// store, servers, clients, and the start of entry VMs as processes. It uses the standard
// library only.
package lab

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// record is one record of a topic.
type record struct {
	key   string
	value []byte
}

// Store is a stand-in of the metadata store with keyed topics of one partition.
type Store struct {
	Address string

	mu     sync.Mutex
	topics map[string][]record
}

// StartStore starts a store on a free loopback port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), topics: make(map[string][]record)}
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }()
	return s, nil
}

// Put appends a record.
func (s *Store) Put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[topic] = append(s.topics[topic], record{key: key, value: data})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	switch r.URL.Path {
	case "/log-newest":
		s.newest(w, topic, q.Get("after"))
	case "/log-read":
		from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.read(w, topic, from, time.Duration(wait)*time.Millisecond)
	case "/log-append":
		body, _ := io.ReadAll(r.Body)
		s.append(w, topic, q.Get("at"), body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) newest(w http.ResponseWriter, topic, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Offset int    `json:"offset"`
		Value  []byte `json:"value"`
	}
	last := make(map[string]int)
	for i, r := range s.topics[topic] {
		last[r.key] = i
	}
	items := []item{}
	for key, i := range last {
		if v := s.topics[topic][i].value; len(v) > 0 && after == "" {
			items = append(items, item{Key: key, Offset: i, Value: v})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": len(s.topics[topic])})
}

func (s *Store) read(w http.ResponseWriter, topic string, from int64, wait time.Duration) {
	until := time.Now().Add(wait)
	for {
		s.mu.Lock()
		all := s.topics[topic]
		s.mu.Unlock()
		if from < int64(len(all)) || time.Now().After(until) {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < int64(len(all)); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(all[i].key)+len(all[i].value)))
				out = append(append(append(out, byte(len(all[i].key))), all[i].key...), all[i].value...)
			}
			_, _ = w.Write(out)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *Store) append(w http.ResponseWriter, topic, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || size < 1+int(body[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 5 + int(body[4])
		s.topics[topic] = append(s.topics[topic], record{key: string(body[5:n]), value: append([]byte(nil), body[n:4+size]...)})
		body = body[4+size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": len(s.topics[topic])})
}
