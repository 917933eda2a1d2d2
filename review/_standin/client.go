package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clients sends requests as clients of the platform do: they ask the directory once a
// second where to connect, and pick one of the addresses at random.
type clients struct {
	fleet *fleet
	rec   *recorder
	http  *http.Client

	mu        sync.Mutex
	known     []string
	expires   time.Time
	next      int
	wg        sync.WaitGroup
	requests  int
	namespace string
}

func newClients(f *fleet, rec *recorder) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &clients{fleet: f, rec: rec, http: &http.Client{Transport: transport}, namespace: strconv.FormatUint(rand.Uint64()>>32, 16)}
}

// address returns one of the addresses that the directory names.
func (c *clients) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		if found := c.fleet.addresses(&http.Client{Timeout: time.Second}, zones[0]); found != nil {
			c.known = found
		}
		c.expires = time.Now().Add(time.Second)
	}
	if len(c.known) == 0 {
		return ""
	}
	return c.known[rand.IntN(len(c.known))]
}

// newID returns the ID of the next request.
func (c *clients) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return fmt.Sprintf("%s-%05d", c.namespace, c.requests)
}

// request is one client attempt.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
	deadline     time.Duration
	// address is the instance to use; empty means one that the directory names.
	address string
	// id is the ID of the request; empty means a new one.
	id string
}

// send sends a request and records its end. It returns the end.
func (c *clients) send(q *request) clientAnswer {
	address := q.address
	if address == "" {
		address = c.address()
	}
	id := q.id
	if id == "" {
		id = c.newID()
	}
	a := clientAnswer{sentAt: time.Now(), id: id, path: q.path, instance: address}
	req, err := http.NewRequest(q.method, "http://"+address+q.path, bytes.NewReader(q.body))
	if err != nil {
		a.note = err.Error()
		c.rec.answered(a)
		return a
	}
	req.Host = "records.example"
	req.Header.Set("Authorization", "Bearer review-key")
	req.Header.Set("X-Medlarslip-Request-Id", id)
	req.Header.Set("X-Medlarslip-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	c.rec.sent(id, q.path, address)
	client := *c.http
	client.Timeout = q.deadline
	resp, err := client.Do(req)
	if err != nil {
		a.note = "no answer: " + shortError(err)
		c.rec.answered(a)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	a.status, a.whole = resp.StatusCode, err == nil
	if resp.Header.Get("X-Medlarslip-Server-Seal") != "" {
		a.note = "from a server"
	}
	if err != nil {
		a.note = "cut: " + shortError(err)
	}
	c.rec.answered(a)
	return a
}

func shortError(err error) string {
	text := err.Error()
	if at := strings.LastIndex(text, ": "); at >= 0 {
		text = text[at+2:]
	}
	return text
}

// sendAtRate sends the requests that make returns, at a mean rate, until stop is closed.
func (c *clients) sendAtRate(stop <-chan struct{}, perSecond float64, makeRequest func() *request) {
	interval := time.Duration(float64(time.Second) / perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			q := makeRequest()
			c.wg.Go(func() { c.send(q) })
		}
	}
}

// booking is a request that may run once at most.
func booking(body string) *request {
	return &request{method: http.MethodPost, path: "/bookings/new", body: []byte(body), deadline: 1500 * time.Millisecond}
}

// lookup is a request that may be repeated.
func lookup() *request {
	return &request{method: http.MethodGet, path: fmt.Sprintf("/lookups/%d", rand.IntN(100000)), deadline: 1500 * time.Millisecond}
}
