package dispatch

import (
	"context"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
)

const (
	// statusTimeout is the timeout of the status read that follows a call
	// without a certain outcome.
	statusTimeout  = 500 * time.Millisecond
	keyPlaceholder = "{key}" // stands for the key in a status path

	statusTooManyRequests = 429
	statusServerError     = 500
	statusUnavailable     = 503
	statusNotFound        = 404
	statusFirstOK         = 200
	statusFirstRedirect   = 300
)

// Kinds of errors of a booking.
var (
	errServiceRefused = merry.Sentinel("service refused the call and does not know its key")
	errServiceFailed  = merry.Sentinel("service failed; the call may have taken effect")
)

// book runs a call that is not idempotent at most once.
func (r *Router) book(ctx context.Context, u *run, call *PlainCall) (*records.KeptAnswer, *refusal.Refusal) {
	if call.Key == "" {
		return nil, refusal.New(refusal.KindKeyRequired, "this call may not be repeated", "send it with an Idempotency-Key header of its own")
	}
	claim := claims.Call{
		Account: call.Account.Name, Key: call.Key, Fingerprint: fingerprint(call),
		Timeout: time.Duration(call.Service.TimeoutMillis) * time.Millisecond,
	}
	if path := statusPath(call); path != "" {
		claim.StatusHint = call.Service.Name + path
		claim.Status = func(ctx context.Context) (*records.KeptAnswer, error) {
			return r.readStatusAnywhere(ctx, u, call, path)
		}
	}
	answer, refused := r.Bookings.Do(ctx, claim, func(ctx context.Context) (*records.KeptAnswer, bool, error) {
		return r.sendBooking(ctx, u, call)
	})
	if refused != nil && refused.Outcome == refusal.NotRun {
		// Bookings decides what is certain about a call that may not be repeated,
		// and NotRun means that it has certainly not run.
		u.mayHaveRun = false
	}
	return answer, refused
}

// sendBooking sends the call. A status below 500, except 429, is the final answer
// of the service and is kept. A status of 429 or 503 means that the service did
// not accept the call. The call has certainly not run only if a status read at
// the same server after that response does not find the key either. After any
// other failure the call may still be in flight behind the server.
func (r *Router) sendBooking(ctx context.Context, u *run, call *PlainCall) (*records.KeptAnswer, bool, error) {
	result := r.send(ctx, u, call, false)
	if result.err != nil {
		return nil, result.mayHaveRun, result.err
	}
	status := result.answer.Status
	refusing := status == statusUnavailable || status == statusTooManyRequests
	if status < statusServerError && !refusing {
		return result.answer, true, nil
	}
	u.mayHaveRun = true
	failed := merry.Prependf(errServiceFailed, "service answered %d", status)
	path := statusPath(call)
	if !refusing || path == "" {
		return nil, true, failed
	}
	known, err := r.readStatus(ctx, result.address, call, path)
	if err != nil {
		return nil, true, failed
	}
	if known == nil {
		return nil, false, merry.Prependf(errServiceRefused, "service answered %d", status)
	}
	known.FromStatus = true
	return known, true, nil
}

// readStatusAnywhere reads the status of the call at any server of the service.
func (r *Router) readStatusAnywhere(ctx context.Context, u *run, call *PlainCall, path string) (*records.KeptAnswer, error) {
	server := r.acquire(ctx, u, call.Service.Name, nil)
	if server == nil {
		return nil, attempt.ErrNoServer
	}
	answer, err := r.readStatus(ctx, server.address, call, path)
	r.release(server, err == nil)
	u.recordResult("status read: " + resultOf(err))
	return answer, err
}

// readStatus returns the answer of the status read, or nil if the service does
// not find the key. The read has a timeout of its own, since the deadline of the
// request may have passed.
func (r *Router) readStatus(ctx context.Context, address string, call *PlainCall, path string) (*records.KeptAnswer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout)
	defer cancel()
	answer, err := r.Services.Do(ctx, &attempt.ServiceCall{Address: address, Method: "GET", Path: path, RequestID: call.RequestID, Memory: call.Memory})
	switch {
	case err != nil:
		return nil, err
	case answer.Status == statusNotFound:
		return nil, nil
	case answer.Status < statusFirstOK || answer.Status >= statusFirstRedirect:
		return nil, merry.Prependf(errServiceFailed, "status read answered %d", answer.Status)
	}
	return answer, nil
}

// statusPath returns the path of the status read, with the key escaped. It is
// empty if the service has none, and for keys with "." or ".." segments, which
// would change the path.
func statusPath(call *PlainCall) string {
	parts := strings.FieldsFunc(call.Key, func(c rune) bool { return c == '/' || c == '\\' })
	if slices.Contains(parts, ".") || slices.Contains(parts, "..") {
		return ""
	}
	return strings.ReplaceAll(call.Service.StatusPath, keyPlaceholder, url.PathEscape(call.Key))
}

// checkBills refuses a request if its bill could not be stored.
func (r *Router) checkBills() *refusal.Refusal {
	if r.BillsFull == nil || !r.BillsFull() {
		return nil
	}
	return refusal.New(refusal.KindOverloaded, "the log has been away so long that no further bill can be kept", "call again once the log is back").After(billsFullRetry)
}

// billsFullRetry is the wait that is sent to callers while no further bill can be
// stored.
const billsFullRetry = 10 * time.Second
