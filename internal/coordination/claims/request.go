package claims

import (
	"context"
	"encoding/hex"
	"errors"
	"strings"
	"time"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
)

// request runs one request through its state machine. It is used by one
// goroutine.
type request struct {
	c       *Coordinator
	call    *Call
	send    Send
	shard   *shard
	claimID string
	// readOffset is the next offset to be read when the request arrived.
	readOffset int64
	started    time.Time

	step   step
	answer *records.KeptAnswer
	err    error
}

// mayHaveEffect reports whether a failed append may have taken effect.
func mayHaveEffect(err error) bool { return !errors.Is(err, eventlog.ErrNotAppended) }

func (r *request) id() keyID { return keyID{account: r.call.Account, key: r.call.Key} }

// run returns the result of the claim that already holds the key, if any, or
// claims the key and runs the call.
func (r *request) run(ctx context.Context) (*records.KeptAnswer, *refusal.Refusal) {
	if known := r.known(ctx); known.phase != phaseFree {
		return r.holderResult(ctx, known)
	}
	if refused := r.refuseEarly(); refused != nil {
		return nil, refused
	}
	do := r.advance(r.claim(ctx))
	for {
		switch do {
		case actionSend:
			do = r.advance(r.perform(ctx))
		case actionRecordAnswer:
			do = r.advance(r.record(records.Claim{Step: records.ClaimDone, Answer: truncated(r.answer)}))
		case actionRecordUnknown:
			do = r.advance(r.record(records.Claim{Step: records.ClaimUnknown}))
		case actionRelease:
			do = r.advance(r.record(records.Claim{Step: records.ClaimReleased}))
		case actionReturnAnswer:
			return r.answer, nil
		case actionReturnNotRun:
			return nil, r.notRunRefusal()
		case actionReturnHolder:
			return r.holderResult(ctx, r.known(ctx))
		default:
			return r.unknownResult(ctx)
		}
	}
}

// advance applies an event to the state machine and returns the next action.
func (r *request) advance(e event) action {
	var do action
	r.step, do = next(r.step, e)
	return do
}

// refuseEarly refuses a request that this instance can't decide, with an unknown
// outcome. It returns nil if the key can be claimed.
func (r *request) refuseEarly() *refusal.Refusal {
	now := r.c.now()
	switch {
	case tooOld(r.call.Key, now):
		return refusal.NewUnknown(refusal.KindKeyExpired, "the key is older than the window in which keys are kept", "read at the service whether the call took effect; use a new key for a new call")
	case !r.c.complete(r.shard):
		return unknownRefusal("this instance has not read all claims of the window")
	case r.c.keyCount.Load() >= MaxKeys || r.c.keys.full():
		refused := unknownRefusal("as many keys are kept as this system bears")
		refused.Kind = refusal.KindOverloaded
		return refused
	case r.c.breaker.rejects(now):
		return unknownRefusal("the log takes no claims")
	}
	return nil
}

// unknownRefusal refuses a request that was not sent, although an earlier request
// with the same key may have been.
func unknownRefusal(message string) *refusal.Refusal {
	return refusal.NewUnknown(refusal.KindLogUnavailable, message+"; this request was not sent, but an earlier one with the same key may have been", "repeat the call with the same Idempotency-Key").After(retryAfter)
}

// claim appends the claim and waits until it is read back or the lease expires.
func (r *request) claim(ctx context.Context) event {
	ctx, cancel := context.WithDeadline(ctx, r.started.Add(lease))
	defer cancel()
	read := r.shard.wait(r.claimID)
	appended := make(chan error, 1)
	go func() {
		appended <- r.c.append(ctx, records.Claim{Step: records.ClaimStart, Account: r.call.Account, Key: r.call.Key, ClaimID: r.claimID, Fingerprint: r.call.Fingerprint, Seen: r.readOffset})
	}()
	for {
		select {
		case e := <-read:
			return r.eventFor(e)
		case err := <-appended:
			if err != nil && !mayHaveEffect(err) {
				return r.giveUp(read)
			}
			appended = nil
		case <-ctx.Done():
			return r.giveUp(read)
		}
	}
}

// giveUp ends the wait. If the claim has been read back in the meantime, its
// effect counts.
func (r *request) giveUp(read <-chan effect) event {
	r.shard.giveUp(r.claimID)
	select {
	case e := <-read:
		return r.eventFor(e)
	default:
		return eventGivenUp
	}
}

// eventFor returns the event for the effect of the claim. It checks the lease
// last, immediately before the send.
func (r *request) eventFor(e effect) event {
	switch e {
	case effectAccepted:
		if r.c.now().Sub(r.started) >= lease {
			return eventAcceptedLate
		}
		return eventAccepted
	case effectVoid:
		return eventVoid
	case effectDoubtful:
		// The reader of the log releases the claim, as any that takes effect after it was given up.
		return eventGivenUp
	default:
		return eventLost
	}
}

// perform sends the call and returns the event for its result.
func (r *request) perform(ctx context.Context) event {
	answer, mayHaveRun, err := r.send(ctx)
	r.answer, r.err = answer, err
	switch {
	case err == nil:
		return eventAnswered
	case mayHaveRun:
		return eventNoAnswer
	default:
		return eventNotSent
	}
}

// record appends the outcome of the claim and waits up to outcomeWait for the log
// to confirm it. The answer of the request's own call is kept from the confirmation until it is read back.
func (r *request) record(record records.Claim) event {
	record.Account, record.Key = r.call.Account, r.call.Key
	record.ClaimID, record.Fingerprint = r.claimID, r.call.Fingerprint
	confirmed := func() {}
	if r.step == stepRecordingAnswer {
		confirmed = func() { r.shard.confirm(r.id(), record.ClaimID, record.Answer) }
	}
	select {
	case <-r.c.record(record, confirmed):
		return eventRecorded
	case <-time.After(outcomeWait):
		return eventNotRecorded
	}
}

// truncated returns the answer as it is kept for repeated calls: without its body
// if that is longer than maxKeptBytes.
func truncated(answer *records.KeptAnswer) *records.KeptAnswer {
	if len(answer.Body) <= maxKeptBytes {
		return answer
	}
	return &records.KeptAnswer{Status: answer.Status, TooLong: true}
}

// notRunRefusal refuses a request whose call was certainly not run.
func (r *request) notRunRefusal() *refusal.Refusal {
	message := "the claim came too late to be used"
	if r.err != nil {
		message = r.err.Error()
	}
	return refusal.New(refusal.KindBackendUnavailable, message, "repeat the call with the same Idempotency-Key").After(retryAfter)
}

// unknownResult returns the result of a request whose claim was not read back in
// time or void, or whose answer was lost.
func (r *request) unknownResult(ctx context.Context) (*records.KeptAnswer, *refusal.Refusal) {
	if r.err == nil {
		return nil, unknownRefusal("the key could not be claimed in time")
	}
	return r.resolveByStatus(ctx, r.claimID, r.err.Error())
}

// holderResult returns the result of the claim that holds the key, as far as it
// is known.
func (r *request) holderResult(ctx context.Context, known entry) (*records.KeptAnswer, *refusal.Refusal) {
	switch {
	case known.phase == phaseFree:
		return nil, unknownRefusal("another request with the key was given up")
	case known.fingerprint != r.call.Fingerprint:
		return nil, keyReusedRefusal(known)
	case known.phase == phaseDone:
		return r.keptAnswer(ctx, known)
	case known.phase == phaseUnknown || r.c.now().Sub(known.readAt) > r.call.Timeout+callSlack:
		return r.resolveByStatus(ctx, known.claimID, "the answer of the call was lost")
	default:
		return nil, refusal.NewUnknown(refusal.KindInProgress, "the call is in progress on another connection", "repeat the call with the same Idempotency-Key").After(retryAfter)
	}
}

// keptAnswer returns the answer of a call that has run. One that was dropped from memory is read from the log. If that
// fails, the request is refused, and the call is never run again.
func (r *request) keptAnswer(ctx context.Context, known entry) (*records.KeptAnswer, *refusal.Refusal) {
	answer := known.answer
	if answer == nil {
		var err error
		if answer, err = r.c.readAnswer(ctx, r.id(), known); err != nil {
			return nil, refusal.NewUnknown(refusal.KindLogUnavailable, "the call ran once, and its answer is not known: "+err.Error(), r.remedy()).After(retryAfter)
		}
	}
	if answer.TooLong {
		return nil, refusal.NewUnknown(refusal.KindBackendUnavailable, "the call ran once, and its answer was too long to keep", r.remedy())
	}
	return answer, nil
}

// keyReusedRefusal refuses a call whose key belongs to a different call. This
// call certainly never ran only if the other one did.
func keyReusedRefusal(known entry) *refusal.Refusal {
	refused := refusal.New(refusal.KindKeyReused, "the Idempotency-Key belongs to another call", "use a new key for a new call")
	if known.phase != phaseDone {
		refused.Outcome = refusal.Unknown
	}
	return refused
}

// resolveByStatus queries the service for the effect of a call whose answer was
// lost. If the service reports none, the outcome stays unknown, since the call
// may still be in flight.
func (r *request) resolveByStatus(ctx context.Context, claimID, message string) (*records.KeptAnswer, *refusal.Refusal) {
	refused := refusal.NewUnknown(refusal.KindBackendUnavailable, message, r.remedy()).After(retryAfter)
	if r.call.Status == nil || r.shard.shared(r.call.Key) {
		return nil, refused
	}
	answer, err := r.call.Status(ctx)
	if err != nil || answer == nil {
		return nil, refused
	}
	answer.FromStatus = true
	r.claimID = claimID
	r.record(records.Claim{Step: records.ClaimDone, Answer: truncated(answer)})
	return answer, nil
}

// remedy returns how to find out whether a call with an unknown outcome took
// effect.
func (r *request) remedy() string {
	if r.call.StatusHint == "" {
		return "ask the operators of the service whether the key took effect; the same key never runs again"
	}
	return "read " + r.call.StatusHint + " to learn whether the call took effect, or repeat the call with the same Idempotency-Key"
}

// tooOld reports whether a key that contains its creation time, a UUID version 7
// (RFC 9562), may be older than the window. It returns false for other keys.
func tooOld(key string, now time.Time) bool {
	const uuidBytes, version = 16, 7
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[6]>>4 != version {
		return false
	}
	var millis int64
	for _, b := range raw[:6] {
		millis = millis<<8 | int64(b)
	}
	return now.Sub(time.UnixMilli(millis)) > Window-windowMargin
}
