// Package serviceserver is a stand-in for a plain service such as a ledger. It
// books every request without deduplicating, and keeps an independent record
// of every effect.
package serviceserver

import (
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Fault is the failure to inject into one booking.
type Fault string

// The faults that a service can inject.
const (
	FaultNone       Fault = ""
	FaultRefuse     Fault = "refuse"      // answers 503 without effect
	FaultLoseAnswer Fault = "lose_answer" // books, then closes the connection without an answer
	FaultSlow       Fault = "slow"        // books after a delay of SlowBy
)

// Booking is the recorded effect of one call.
type Booking struct {
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is a plain service that keeps its bookings in memory.
type Service struct {
	// SlowBy is the delay of FaultSlow.
	SlowBy time.Duration

	mu       sync.Mutex
	bookings []Booking
	faults   func(key string) Fault
}

// Receipt is the answer to a booking.
type Receipt struct {
	Key string `json:"key"`
	// Number is the position of the booking among all bookings of the service,
	// from 1.
	Number int `json:"number"`
}

// Status is the answer to a status read of a key.
type Status struct {
	Key string `json:"key"`
	// Count is the number of bookings with the key.
	Count int `json:"count"`
}

// New returns a service without bookings or faults.
func New() *Service { return &Service{} }

// OnBooking sets the function that chooses the fault of each booking; nil
// injects none.
func (s *Service) OnBooking(fault func(key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = fault
}

// Bookings returns all bookings in the order in which they took effect.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking(nil), s.bookings...)
}

// Count returns the number of bookings with the given key.
func (s *Service) Count(key string) int {
	count := 0
	for _, booking := range s.Bookings() {
		if booking.Key == key {
			count++
		}
	}
	return count
}

// bookingsPath is the path for making bookings; the status of a key is below it.
const bookingsPath = "/bookings"

// Handle answers a request to the service; it is a fasthttp.RequestHandler.
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
