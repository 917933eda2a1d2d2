package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one
// partition, linearizable, without faults of its own.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	listener net.Listener
	server   *http.Server
	// doors holds the doors of the instances that have one of their own.
	doors []*door
}

type topic struct {
	records []storedRecord
	newest  map[string]storedRecord
	order   []string
	changed chan struct{}
}

type storedRecord struct {
	key    string
	value  []byte
	offset int64
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, listener: listener}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// addressFor returns the address at which the instance of a number reaches the store.
func (s *store) addressFor(n int) string {
	if n < len(s.doors) {
		return s.doors[n].listener.Addr().String()
	}
	return s.address()
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]storedRecord{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) append(key string, value []byte) int64 {
	r := storedRecord{key: key, value: value, offset: int64(len(t.records))}
	t.records = append(t.records, r)
	if _, known := t.newest[key]; !known {
		t.order = append(t.order, key)
	}
	t.newest[key] = r
	close(t.changed)
	t.changed = make(chan struct{})
	return r.offset
}

// put writes a record as the operator or a server does. A nil value deletes the key.
func (s *store) put(name, key string, value any) {
	var content []byte
	if value != nil {
		content, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).append(key, content)
}

// get returns the newest value of a key; nil if there is none.
func (s *store) get(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	switch r.Method + " " + r.URL.Path {
	case "GET /api/log-read":
		s.serveRead(w, r)
	case "GET /api/log-newest":
		s.serveNewest(w, r)
	case "POST /api/log-append":
		s.serveAppend(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		var records []storedRecord
		if from < end {
			records = t.records[max(from, 0):end]
		}
		s.mu.Unlock()
		if len(records) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, record := range records {
			body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
			body = append(body, byte(len(record.key)))
			body = append(body, record.key...)
			body = append(body, record.value...)
		}
		_, _ = w.Write(body)
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for _, key := range t.order {
		if record := t.newest[key]; record.value != nil {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(record.value), record.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": false, "end": end})
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	w.Header().Set("Content-Type", "application/json")
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int64{"end": end})
		return
	}
	first := end
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		content := body[4:min(4+size, len(body))]
		body = body[min(4+size, len(body)):]
		keyLength := int(content[0])
		if 1+keyLength > len(content) {
			break
		}
		var value []byte
		if len(content) > 1+keyLength {
			value = content[1+keyLength:]
		}
		t.append(string(content[1:1+keyLength]), value)
	}
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": first, "end": int64(len(t.records))})
}
