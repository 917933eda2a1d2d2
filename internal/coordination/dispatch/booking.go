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
	// statusTimeout bounds the status read that follows a lost answer.
	statusTimeout  = 500 * time.Millisecond
	keyPlaceholder = "{key}" // stands for the key in a status path

	statusTooManyRequests = 429
	statusServerError     = 500
	statusUnavailable     = 503
	statusNotFound        = 404
	statusFirstOK         = 200
	statusFirstRedirect   = 300
)

// Kinds of error of a booking.
var (
	errServiceRefused = merry.Sentinel("service refused the call and does not know its key")
	errServiceFailed  = merry.Sentinel("service failed; the call may have taken effect")
)

// book runs a call at most once.
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
		// Claims decide what is certain of a call that may not be repeated.
		u.mayHaveRun = false
	}
	return answer, refused
}

// sendBooking sends the call. An answer below 500 is the word of the service
// and is kept, but for 429. One of 429 or 503 says that the service did not
// take the call; only where a status read, made after that answer at the same
// server, does not know the key either, did the call certainly not run. After
// any other failure the call may still be on its way behind the server.
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

// readStatusAnywhere reads the status at any server of the service.
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

// readStatus returns the answer of the status read, or nil where the service
// does not know the key. The time of the request itself may be over.
func (r *Router) readStatus(ctx context.Context, address string, call *PlainCall, path string) (*records.KeptAnswer, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), statusTimeout)
	defer cancel()
	answer, err := r.Services.Do(ctx, &attempt.ServiceCall{Address: address, Method: "GET", Path: path, RequestID: call.RequestID})
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

// statusPath returns the path of the status read with the key escaped. It is
// empty where the service has none, and for keys that would lead elsewhere.
func statusPath(call *PlainCall) string {
	parts := strings.FieldsFunc(call.Key, func(c rune) bool { return c == '/' || c == '\\' })
	if slices.Contains(parts, ".") || slices.Contains(parts, "..") {
		return ""
	}
	return strings.ReplaceAll(call.Service.StatusPath, keyPlaceholder, url.PathEscape(call.Key))
}

// checkBills refuses work whose bill could not be kept.
func (r *Router) checkBills() *refusal.Refusal {
	if r.BillsFull == nil || !r.BillsFull() {
		return nil
	}
	return refusal.New(refusal.KindOverloaded, "the log has been away so long that no further bill can be kept", "call again once the log is back").After(billsFullRetry)
}

const billsFullRetry = 10 * time.Second
