// Package logrelay lets instances read the records of followed topics from each
// other.
package logrelay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"medlarslip/internal/coordination/keyedlog"
	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/httpconn"
)

const (
	// recordsPath is the path at which an instance serves records.
	recordsPath = "/records"
	// fetchTimeout bounds the wait for a peer; after it, the store is read.
	fetchTimeout = 700 * time.Millisecond
	// maxResponseBytes bounds a response in bytes. It is larger than what an
	// instance retains.
	maxResponseBytes = 4 << 20
)

// Server serves the records that this instance has received.
type Server struct {
	// Topic returns the follower of a topic, or nil if the topic is not followed.
	Topic func(name string) *keyedlog.Follower
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := decodePosition(query)
	topic := s.Topic(query.Get("topic"))
	if r.URL.Path != recordsPath || err != nil || topic == nil {
		http.Error(w, "name a topic and an offset", http.StatusBadRequest)
		return
	}
	page, err := topic.Since(from)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	body, err := json.Marshal(page)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// Any client can ask for records, and need not read them.
	memory := clientmemory.FromContext(r.Context())
	if err := memory.Grow(int64(len(body))); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer memory.Shrink(int64(len(body)))
	// A write error means that the peer has disconnected.
	_, _ = w.Write(body)
}

// decodePosition decodes the position that a request names. Requests of instances that
// know no eras name an offset alone, which is then looked up as of no era.
func decodePosition(query url.Values) (keyedlog.Position, error) {
	offset, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil || !query.Has("era") {
		return keyedlog.Position{Offset: offset}, err
	}
	era, err := strconv.ParseInt(query.Get("era"), 10, 64)
	return keyedlog.Position{Era: era, Offset: offset}, err
}

// Client reads records from peers. It implements keyedlog.Relay.
type Client struct {
	Pool *httpconn.Pool
}

var _ keyedlog.Relay = (*Client)(nil)

// Fetch implements keyedlog.Relay.
func (c *Client) Fetch(ctx context.Context, address, topic string, from keyedlog.Position) (*keyedlog.RelayedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	query := url.Values{"topic": {topic}, "from": {strconv.FormatInt(from.Offset, 10)}}
	if from.Era != 0 {
		query.Set("era", strconv.FormatInt(from.Era, 10))
	}
	head := "GET " + recordsPath + "?" + query.Encode() + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"
	req := httpconn.RawRequest{Method: http.MethodGet, Head: []byte(head)}
	response, err := c.Pool.Fetch(ctx, address, req, httpconn.ReuseIdle, maxResponseBytes)
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		return nil, fmt.Errorf("%w (status %d)", keyedlog.ErrNotKept, response.Status)
	}
	var page keyedlog.RelayedPage
	if err := json.Unmarshal(response.Body, &page); err != nil {
		return nil, err
	}
	return &page, nil
}
