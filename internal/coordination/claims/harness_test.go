package claims_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/standin/serviceserver"
)

// callTimeout is the timeout of a call to the service in these tests.
const callTimeout = 2 * time.Second

// fleet is a set of coordinators that share one log and one service.
type fleet struct {
	log     *logservice.Service
	service *serviceserver.Service
	nodes   []*node
	// status is true if the service has a status query.
	status bool
	// answers is the limit of the memory of answers at each node, or 0 for none.
	answers int64

	mu   sync.Mutex
	sent map[string]int // number of sends, by request
}

// node is one instance. After a crash, it has no effect that others can observe.
type node struct {
	fleet   *fleet
	id      string
	crashed atomic.Bool
	// crashPoint is the point at which the node crashes, such as "before start"
	// or "after send"; empty for none.
	crashPoint string
	owner      *claims.OwnerAppender
	bookings   *claims.Coordinator
	stop       context.CancelFunc
	done       chan struct{}
}

func newFleet(size int, status bool) *fleet { return newLimitedFleet(size, status, 0) }

func newLimitedFleet(size int, status bool, answers int64) *fleet {
	f := &fleet{log: logservice.New(0), service: serviceserver.New(), status: status, answers: answers, sent: map[string]int{}}
	for i := range size {
		f.nodes = append(f.nodes, f.start(fmt.Sprint("entry-", i)))
	}
	return f
}

func (f *fleet) start(id string) *node {
	n := &node{fleet: f, id: id, done: make(chan struct{})}
	n.owner = claims.NewOwnerAppender(n, id, f, n)
	n.bookings = claims.New(n, n.owner, n.owner.Owns, id, id+"-incarnation")
	n.bookings.LimitAnswers(f.answers, 0)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.done)
		_ = n.bookings.Run(ctx)
	}()
	return n
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
		<-n.done
	}
}

// EntryInstances implements claims.Fleet. Its list is stale: it includes crashed
// instances.
func (f *fleet) EntryInstances() []platform.Instance {
	list := []platform.Instance{}
	for i := range 3 {
		id := fmt.Sprint("entry-", i)
		list = append(list, platform.Instance{ID: id, ControlAddress: id})
	}
	return list
}

// find returns the running node with an ID, or nil.
func (f *fleet) find(id string) *node {
	for _, n := range f.nodes {
		if n.id == id && !n.crashed.Load() {
			return n
		}
	}
	return nil
}

// passPoint crashes the node if the given point is its crash point.
func (n *node) passPoint(when, what string) {
	if n.crashPoint == when+" "+what {
		n.crashed.Store(true)
	}
}

// passRecords passes the points of the given records. For "after", it is called
// just before the records take effect: they still do, but the node takes no
// further step. If it were called later, it would race with the node's own
// reader of the log, which may already act on the records.
func (n *node) passRecords(when string, raws []json.RawMessage) {
	for _, raw := range raws {
		var record records.Claim
		if json.Unmarshal(raw, &record) == nil {
			n.passPoint(when, string(record.Step))
		}
	}
}

// Forward implements claims.Forwarder.
func (n *node) Forward(ctx context.Context, address string, raws []json.RawMessage) error {
	n.passRecords("before", raws)
	owner := n.fleet.find(address)
	if owner == nil || n.crashed.Load() {
		return claims.ErrForward
	}
	n.passRecords("after", raws)
	return owner.owner.Accept(ctx, raws)
}

// Append implements eventlog.Log. Appends of a crashed node are lost.
func (n *node) Append(ctx context.Context, stream string, raws []json.RawMessage) (int64, error) {
	n.passRecords("before", raws)
	if n.crashed.Load() {
		return 0, nil
	}
	n.passRecords("after", raws)
	return n.fleet.log.Append(ctx, stream, raws)
}

// Read implements eventlog.Log.
func (n *node) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	if n.crashed.Load() {
		return nil, eventlog.ErrUnavailable
	}
	return n.fleet.log.Read(ctx, stream, from, limit, wait)
}

// reply is the result that a caller received.
type reply struct {
	answer  *records.KeptAnswer
	refused *refusal.Refusal
	// received is false if the node crashed before it replied.
	received bool
}

// outcome returns "answer" or the outcome of the refusal.
func (r reply) outcome() string {
	if r.refused == nil {
		return "answer"
	}
	return string(r.refused.Outcome)
}

var errNoAnswer = errors.New("no complete answer")

// book sends one booking request with a key to the node.
func (n *node) book(request, key string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	call := claims.Call{Account: "technicians", Key: key, Fingerprint: "body", Timeout: callTimeout}
	if n.fleet.status {
		call.StatusHint = "/bookings/" + key
		call.Status = func(context.Context) (*records.KeptAnswer, error) { return n.fleet.readStatus(key), nil }
	}
	answer, refused := n.bookings.Do(ctx, call, func(context.Context) (*records.KeptAnswer, bool, error) {
		n.passPoint("before", "send")
		defer n.passPoint("after", "send")
		if n.crashed.Load() {
			return nil, false, errNoAnswer
		}
		return n.fleet.post(request, key)
	})
	return reply{answer: answer, refused: refused, received: !n.crashed.Load()}
}

func (f *fleet) post(request, key string) (*records.KeptAnswer, bool, error) {
	f.mu.Lock()
	f.sent[request]++
	f.mu.Unlock()
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("/bookings")
	ctx.Request.Header.Set("Idempotency-Key", key)
	ctx.Request.SetBodyString(request)
	f.service.Handle(&ctx)
	if ctx.Hijacked() {
		return nil, true, errNoAnswer
	}
	status := ctx.Response.StatusCode()
	if status == fasthttp.StatusServiceUnavailable {
		return nil, !f.status, errNoAnswer
	}
	return &records.KeptAnswer{Status: status, Body: append([]byte(nil), ctx.Response.Body()...)}, true, nil
}

func (f *fleet) readStatus(key string) *records.KeptAnswer {
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/bookings/" + key)
	f.service.Handle(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		return nil
	}
	return &records.KeptAnswer{Status: fasthttp.StatusOK, Body: append([]byte(nil), ctx.Response.Body()...)}
}

// bookedBy returns the request that booked a key according to the service's own
// records, or "" if there is none.
func (f *fleet) bookedBy(key string) string {
	for _, booking := range f.service.Bookings() {
		if booking.Key == key {
			return booking.Body
		}
	}
	return ""
}

// allClaims returns the records of the claims stream.
func allClaims(t *testing.T, log *logservice.Service) []records.Claim {
	t.Helper()
	page, err := log.Read(t.Context(), platform.StreamClaims, 0, math.MaxInt, 0)
	must.NoError(t, err)
	found := make([]records.Claim, len(page.Records))
	for i, raw := range page.Records {
		must.NoError(t, json.Unmarshal(raw, &found[i]))
	}
	return found
}
