package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"time"

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
	// Memory accounts for what the call holds; nil sets no limit.
	Memory attempt.Memory
}

// Plain forwards a call to a plain service.
func (r *Router) Plain(ctx context.Context, call *PlainCall) (*records.KeptAnswer, *refusal.Refusal) {
	if refused := r.checkBills(); refused != nil {
		return nil, refused
	}
	u := r.newRun(call.RequestID, call.Service.Name, call.Method, call.Account, call.Config.Index, call.Config.Envelope.Number)
	u.deadline = u.started.Add(time.Duration(call.Service.TimeoutMillis) * time.Millisecond)
	deadline, cancel := context.WithTimeout(ctx, u.remaining())
	defer cancel()
	// A call that is not idempotent is never shed: an earlier attempt with its
	// key may have run, and only the claim shows whether it has.
	if !nonIdempotent(call) {
		if refused := r.admit(deadline, u, servicePriority, 0); refused != nil {
			return nil, u.refuse(ctx, refused)
		}
	}
	answer, refused := r.callService(deadline, u, call)
	if refused != nil {
		if u.mayHaveRun {
			u.recordStep(requests.Step{VersionID: call.Service.Name, Result: string(refused.Kind)}, 0)
		}
		return nil, u.refuse(ctx, refused)
	}
	u.recordStep(requests.Step{VersionID: call.Service.Name, Result: stepAccepted}, 0)
	u.finish(ctx, outcomeAnswered, "")
	return answer, nil
}

func (r *Router) callService(ctx context.Context, u *run, call *PlainCall) (*records.KeptAnswer, *refusal.Refusal) {
	if nonIdempotent(call) {
		return r.book(ctx, u, call)
	}
	if isRead(call.Method) {
		return r.hedgedRead(ctx, u, call)
	}
	result := r.send(ctx, u, call, false)
	if result.err != nil {
		return nil, serviceRefusal(ctx, call, result.err)
	}
	return result.answer, nil
}

// nonIdempotent reports whether the call may run at most once. It ignores the
// case of paths, since a service may ignore it too.
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

// fingerprint returns a digest that distinguishes calls with the same key.
func fingerprint(call *PlainCall) string {
	digest := sha256.New()
	for _, part := range []string{call.Service.Name, call.Method, call.Path, call.Query, call.ContentType, string(call.Body)} {
		digest.Write([]byte(part))
		digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// sendResult is the result of one call of a plain service.
type sendResult struct {
	answer *records.KeptAnswer
	// address is the address of the server that was called last.
	address string
	// mayHaveRun is false only if the call certainly had no effect.
	mayHaveRun bool
	err        error
}

// send tries one server of the service after another: with a read until one
// answers, with any other call until one may have received it.
func (r *Router) send(ctx context.Context, u *run, call *PlainCall, read bool) sendResult {
	var exclude []string
	last := sendResult{err: attempt.ErrNoServer}
	for range maxAttempts {
		server := r.acquire(ctx, u, call.Service.Name, exclude)
		if server == nil {
			break
		}
		answer, err := r.Services.Do(ctx, newServiceCall(call, server.address))
		r.settle(server, callResult(ctx, err))
		u.recordResult(resultOf(err))
		if err == nil {
			return sendResult{answer: answer, address: server.address, mayHaveRun: true}
		}
		notSent := errors.Is(err, attempt.ErrNotSent)
		u.mayHaveRun = u.mayHaveRun || !notSent
		last = sendResult{address: server.address, mayHaveRun: u.mayHaveRun, err: err}
		if ctx.Err() != nil || !notSent && !read {
			return last
		}
		exclude = append(exclude, server.id)
	}
	return last
}

func newServiceCall(call *PlainCall, address string) *attempt.ServiceCall {
	return &attempt.ServiceCall{
		Address: address, Method: call.Method, Path: withQuery(call), ContentType: call.ContentType,
		Body: call.Body, RequestID: call.RequestID, IdempotencyKey: call.Key, Memory: call.Memory,
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
	switch {
	case ctx.Err() != nil:
		kind = refusal.KindDeadline
	case errors.Is(err, attempt.ErrMemory):
		kind = refusal.KindBrokenAnswer
	}
	return refusal.New(kind, "service "+call.Service.Name+": "+err.Error(), "call again after the given wait").After(noBackendRetry)
}
