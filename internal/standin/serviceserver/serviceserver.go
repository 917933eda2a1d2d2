// Package serviceserver is a stand-in for a plain service such as a ledger: it
// books what it is sent, does not look for repeats, and keeps an independent
// record of every effect.
package serviceserver

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Fault is what goes wrong with one booking.
type Fault string

// The faults that a service can be told to show.
const (
	FaultNone       Fault = ""
	FaultRefuse     Fault = "refuse"      // answers 503 without effect
	FaultLoseAnswer Fault = "lose_answer" // books, then closes the connection
	FaultSlow       Fault = "slow"        // books after SlowBy
)

// Booking is one effect of a call.
type Booking struct {
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is one plain service.
type Service struct {
	// SlowBy is the wait of FaultSlow.
	SlowBy time.Duration

	mu       sync.Mutex
	bookings []Booking
	faults   func(key string) Fault
}

// Receipt is the answer to a booking.
type Receipt struct {
	Key string `json:"key"`
	// Number counts the bookings of the service.
	Number int `json:"number"`
}

// Status is the answer to the status read of a key.
type Status struct {
	Key string `json:"key"`
	// Count is how often the key was booked.
	Count int `json:"count"`
}

// New returns a service without bookings or faults.
func New() *Service { return &Service{} }

// OnBooking sets the function that chooses the fault of each booking.
func (s *Service) OnBooking(fault func(key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = fault
}

// Bookings returns all effects in order.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking(nil), s.bookings...)
}

// Count returns how often a key was booked.
func (s *Service) Count(key string) int {
	count := 0
	for _, booking := range s.Bookings() {
		if booking.Key == key {
			count++
		}
	}
	return count
}

// bookingsPath is where bookings are made and, below it, read by key.
const bookingsPath = "/bookings"

// Handle is the fasthttp handler of the service.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/health":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case path == bookingsPath && ctx.IsPost():
		s.book(ctx)
	case strings.HasPrefix(path, bookingsPath+"/") && ctx.IsGet():
		s.read(ctx, strings.TrimPrefix(path, bookingsPath+"/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Service) book(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	fault := s.faultOf(key)
	switch fault {
	case FaultRefuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	case FaultSlow:
		time.Sleep(s.SlowBy)
	}
	number := s.add(Booking{Key: key, Body: string(ctx.PostBody())})
	if fault == FaultLoseAnswer {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		return
	}
	body, _ := json.Marshal(Receipt{Key: key, Number: number})
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetBody(body)
}

func (s *Service) faultOf(key string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == nil {
		return FaultNone
	}
	return s.faults(key)
}

func (s *Service) add(booking Booking) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookings = append(s.bookings, booking)
	return len(s.bookings)
}

func (s *Service) read(ctx *fasthttp.RequestCtx, key string) {
	count := s.Count(key)
	if count == 0 {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, _ := json.Marshal(Status{Key: key, Count: count})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
