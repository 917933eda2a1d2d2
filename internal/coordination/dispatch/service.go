package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/requests"
)

// PlainCall is one call of a plain service by an authenticated caller.
type PlainCall struct {
	RequestID   string
	Config      *configuration.InForce
	Account     *document.ClientAccount
	Service     *document.PlainService
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	Key         string
}

// Plain passes a call on to a plain service.
func (r *Router) Plain(ctx context.Context, call *PlainCall) (*records.KeptAnswer, *refusal.Refusal) {
	u := r.newRun(call.RequestID, call.Service.Name, call.Method, call.Account, call.Config.Index, call.Config.Envelope.Number)
	u.deadline = u.started.Add(time.Duration(call.Service.TimeoutMillis) * time.Millisecond)
	deadline, cancel := context.WithTimeout(ctx, u.remaining())
	defer cancel()
	if refused := r.admit(deadline, u, servicePriority, 0); refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	answer, refused := r.callService(deadline, u, call)
	if refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	u.stepDone(requests.Step{VersionID: call.Service.Name, Result: stepAccepted}, 0)
	u.finish(ctx, outcomeAnswered, "")
	return answer, nil
}

func (r *Router) callService(ctx context.Context, u *run, call *PlainCall) (*records.KeptAnswer, *refusal.Refusal) {
	if !nonIdempotent(call) {
		answer, err := r.sendIdempotent(ctx, u, call)
		if err != nil {
			return nil, serviceRefusal(ctx, call, err)
		}
		return answer, nil
	}
	if call.Key == "" {
		return nil, refusal.New(refusal.KindKeyRequired, "this call may not be repeated", "send it with an Idempotency-Key header of its own")
	}
	claim := claims.Call{Account: call.Account.Name, Key: call.Key, Fingerprint: fingerprint(call)}
	answer, refused := r.Bookings.Do(ctx, claim, func(ctx context.Context) (*records.KeptAnswer, bool, error) {
		return r.send(ctx, u, call, false)
	})
	if refused != nil && refused.Outcome == refusal.NotRun {
		// Claims decide what is certain of a call that may not be repeated.
		u.mayHaveRun = false
	}
	return answer, refused
}

// nonIdempotent reports whether the call may run at most once. Paths are
// compared without regard to case, since a service may do so too.
func nonIdempotent(call *PlainCall) bool {
	for _, pattern := range call.Service.NonIdempotent {
		prefix := pattern.PathPrefix
		samePath := len(call.Path) >= len(prefix) && strings.EqualFold(call.Path[:len(prefix)], prefix)
		if call.Method == pattern.Method && samePath {
			return true
		}
	}
	return false
}

func isRead(method string) bool { return method == "GET" || method == "HEAD" }

// fingerprint tells calls apart that share a key.
func fingerprint(call *PlainCall) string {
	digest := sha256.New()
	for _, part := range []string{call.Service.Name, call.Method, call.Path, call.Query, call.ContentType, string(call.Body)} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// send calls one server of the service after another: a read until one
// answers, any other call until one may have received it.
func (r *Router) send(ctx context.Context, u *run, call *PlainCall, read bool) (*records.KeptAnswer, bool, error) {
	var exclude []string
	var lastErr error
	for range maxAttempts {
		server := r.acquire(u, call.Service.Name, exclude)
		if server == nil {
			break
		}
		answer, err := r.Services.Do(ctx, newServiceCall(call, server.address))
		r.settle(server, callResult(ctx, err))
		u.attempted(resultOf(err))
		if err == nil {
			return answer, true, nil
		}
		lastErr = err
		notSent := errors.Is(err, attempt.ErrNotSent)
		u.mayHaveRun = u.mayHaveRun || !notSent
		if ctx.Err() != nil || !notSent && !read {
			return nil, !notSent, err
		}
		exclude = append(exclude, server.id)
	}
	if lastErr == nil {
		lastErr = attempt.ErrNoServer
	}
	return nil, u.mayHaveRun, lastErr
}

func newServiceCall(call *PlainCall, address string) *attempt.ServiceCall {
	return &attempt.ServiceCall{
		Address: address, Method: call.Method, Path: withQuery(call), ContentType: call.ContentType,
		Body: call.Body, RequestID: call.RequestID, IdempotencyKey: call.Key,
	}
}

func withQuery(call *PlainCall) string {
	if call.Query == "" {
		return call.Path
	}
	return call.Path + "?" + call.Query
}

func serviceRefusal(ctx context.Context, call *PlainCall, err error) *refusal.Refusal {
	kind := refusal.KindBackendUnavailable
	if ctx.Err() != nil {
		kind = refusal.KindDeadline
	}
	return refusal.New(kind, "service "+call.Service.Name+": "+err.Error(), "call again after the given wait").After(noBackendRetry)
}
