package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/clientmemory"
)

// request is the state of one client request.
type request struct {
	call    Call
	route   *routes.Route
	index   *routes.Index
	account *routes.Account
	http    *http.Request
	body    pieces
	// memory accounts for what the client makes this instance hold.
	memory *clientmemory.Holding
	// counted is true once the fixed memory of the request is accounted for.
	counted bool
	// bodyRead is true once the whole body is in body.
	bodyRead bool
	started  time.Time
	// waited is the time that the request waited for the configuration.
	waited time.Duration
	// expires is the deadline of the whole response; zero if there is none.
	expires time.Time
	service string
	plan    *cascadePlan
	// session is a hash that is the same for all requests of a session.
	session uint64
	// staged is the rollout stage of the first attempt; nil before it.
	staged *staging.Stage
	// prefix is a hash of the shared prompt prefix; 0 if there is none.
	prefix uint64
	// keys identify the request and its prompt parts for the quarantine.
	keys quarantine.Request
	// reserved is the server chosen for the next attempt; nil if none is.
	reserved *selection
	// retryReserved is true if the retry budget was charged for the next attempt already.
	retryReserved bool
	// size is the class of the expected work, SizeUnknown for placement by load. classified is
	// true once it was determined.
	size       workload.Size
	classified bool
	// tried lists the IDs of the servers of all attempts.
	tried []string
	// sent counts the attempts that may have reached a server.
	sent int
	// capacity is the state of the request with regard to waiting for capacity.
	capacity capacityState
	// mayHaveRun is true once a server may have begun to process the request.
	mayHaveRun bool
	// weakDropped is true once a weak answer was dropped, until a server may have begun a
	// stronger run.
	weakDropped bool
	// kept is the latest weak answer that is kept while a stronger model runs; nil if none is.
	kept *keptAnswer
	// keptBytes is the memory that is accounted for answers that were kept.
	keptBytes int64
}

var errRequestExpired = errors.New("deadline of the request exceeded")

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler where
// a response that has begun can't be completed.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if g.shutdown.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	req, refused := g.admit(w, r, started)
	if req != nil {
		defer req.release()
	}
	if refused != nil {
		g.logRefusal(req, r, refused)
		refused.write(w)
		return
	}
	ctx, cancel := req.withDeadline(r.Context())
	defer cancel()
	defer req.releaseReserved()
	g.Staging.BeginRequest(req.service, req.session)
	defer g.Staging.EndRequest(req.service, req.session)
	if g.Accounts != nil {
		g.Accounts.Count(req.accountName())
	}
	end := g.run(ctx, w, req)
	g.logEnd(req, &end)
	if end.refused != nil {
		end.refused.write(w)
	}
	if end.abort {
		panic(http.ErrAbortHandler)
	}
}

// reserve keeps a server, on which a call has begun, for the next attempt. It replaces the one that a watchdog
// reserved while a response arrived after all.
func (r *request) reserve(choice *selection) {
	r.releaseReserved()
	r.reserved = choice
}

// releaseReserved ends the call on a server that was reserved for an attempt that was not needed.
func (r *request) releaseReserved() {
	if r.reserved != nil {
		r.reserved.backend.Cancel()
		r.reserved = nil
	}
}

// withDeadline returns a context that ends when the client disconnects or the
// deadline passes.
func (r *request) withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	if r.expires.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadlineCause(parent, r.expires, errRequestExpired)
}

// admit decodes the request, matches its route and client account, and reads
// its body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, started time.Time) (*request, *refusal) {
	call, err := g.Codec.DecodeCall(r.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, cause: "bad_header", remedy: err.Error()}
	}
	req := &request{call: call, http: r, started: started, memory: clientmemory.FromContext(r.Context())}
	if err := req.memory.BeginRequest(int64(headerBytes(r))); err != nil {
		return req, bodyRefusal(err)
	}
	req.counted = true
	refused := g.findRoute(req)
	if g.mayWait(refused) {
		refused = g.awaitConfiguration(w, req, refused)
	}
	if refused != nil {
		return req, refused
	}
	if refused := req.readBody(w, req.index.Limits.BodyBytes); refused != nil {
		return req, refused
	}
	req.setDeadline()
	req.setKeys()
	return req, g.quarantined(req)
}

// findRoute matches route and client account in the configuration in force.
func (g *Gateway) findRoute(req *request) *refusal {
	if g.shutdown.refuseNew.Load() {
		return &refuseLeaving
	}
	configuration := g.Current()
	req.index = configuration.Index
	if req.index == nil {
		return &refuseNoConfiguration
	}
	if limit := req.index.Limits.HeaderBytes; limit > 0 && headerBytes(req.http) > limit {
		return &refuseHeader
	}
	return g.authorize(req, configuration.ProvenAt)
}

// authorize matches the route and authenticates the client account. It measures
// the age of the configuration after the request has arrived, so that a key
// that was revoked more than MaxProofAge before the client sent the request is
// never accepted.
func (g *Gateway) authorize(req *request, provenAt boottime.Instant) *refusal {
	maxAge := g.Bounds().MaxProofAge
	stale := maxAge > 0 && g.Clock().Since(provenAt) > maxAge
	req.route = req.index.Match(hostName(req.http.Host), rawPath(req.http))
	switch {
	case req.route == nil && stale:
		return &refuseStale
	case req.route == nil:
		return &refuseNoRoute
	case !req.index.NeedsKey(req.route):
		return nil
	case stale:
		return &refuseStale
	}
	req.account = req.index.Account(req.call.Key)
	if req.account == nil {
		return &refuseKey
	}
	return nil
}

// headerBytes returns the size of the request header, without optional
// whitespace that the client may have sent.
func headerBytes(r *http.Request) int {
	const separators = len(": ") + len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// rawTarget returns the request target in origin form, as sent by the client.
func rawTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(rawTarget(r), "?")
	return path
}

// setDeadline sets the deadline to the earlier of the client's deadline and the
// route's timeout.
func (r *request) setDeadline() {
	limit := r.call.Deadline
	if r.route.Timeout > 0 && (limit <= 0 || r.route.Timeout < limit) {
		limit = r.route.Timeout
	}
	if limit > 0 {
		r.expires = r.started.Add(limit)
	}
}

// remaining returns the time until the deadline, at least 1 ms; 0 means no
// deadline.
func (r *request) remaining(now time.Time) time.Duration {
	if r.expires.IsZero() {
		return 0
	}
	return max(r.expires.Sub(now), time.Millisecond)
}

// priority returns the priority of the request; 0 is the highest.
func (r *request) priority() int {
	if r.account != nil && r.account.Priority != nil {
		return *r.account.Priority
	}
	return r.route.Priority
}

// maxSentPriority is the lowest priority that is sent to servers, and excessPriority by how much the
// priority of a request above the share of its account is lowered: below those of all usual routes.
const (
	maxSentPriority = 9
	excessPriority  = 5
)

func (r *request) sentPriority() int {
	if r.capacity.excess {
		return max(r.priority(), min(r.priority()+excessPriority, maxSentPriority))
	}
	return r.priority()
}

func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}
