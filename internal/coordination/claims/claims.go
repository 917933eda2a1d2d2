// Package claims lets a non-idempotent call run at most once in the fleet. A
// claim of the call's key is appended to the log before the call is sent; the
// first claim of a key in log order may run it, and its outcome is appended
// after. Every instance follows the stream, so that a repeat of the call
// through another instance meets the same outcome.
package claims

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/xid"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
)

const (
	readLimit   = 500              // records a page
	readWait    = 10 * time.Second // wait of one read for the next record
	outageWait  = 200 * time.Millisecond
	settleLimit = 3 * time.Second // wait for an own claim to be read back
	retryAfter  = time.Second
)

// Call is one non-idempotent call.
type Call struct {
	Account string
	Key     string
	// Fingerprint is a hash of all that the call would do.
	Fingerprint string
}

// Send performs the call. MayHaveRun of its result is false only where the
// call certainly had no effect.
type Send func(ctx context.Context) (answer *records.KeptAnswer, mayHaveRun bool, err error)

// Coordinator runs non-idempotent calls. It is safe for concurrent use.
type Coordinator struct {
	log      eventlog.Log
	writer   records.Writer
	sequence atomic.Uint64

	mu      sync.Mutex
	keys    map[keyID]*keyState
	changed chan struct{}
	next    int64
	ready   bool
}

type keyID struct{ account, key string }

// keyState is what the stream says of one key so far.
type keyState struct {
	claimID     string
	fingerprint string
	step        records.ClaimStep
	answer      *records.KeptAnswer
}

// New returns a coordinator that writes as the given instance.
func New(log eventlog.Log, instance, incarnation string) *Coordinator {
	return &Coordinator{
		log:     log,
		writer:  records.Writer{Instance: instance, Incarnation: incarnation},
		keys:    map[keyID]*keyState{},
		changed: make(chan struct{}),
	}
}

// Run follows the claims stream until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil {
			sleep(ctx, outageWait)
		}
	}
	return nil
}

func (c *Coordinator) step(ctx context.Context) error {
	wait := readWait
	c.mu.Lock()
	from := c.next
	if !c.ready {
		wait = 0
	}
	c.mu.Unlock()
	page, err := c.log.Read(ctx, platform.StreamClaims, from, readLimit, wait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, raw := range page.Records {
		c.applyLocked(raw)
	}
	c.next = page.FirstOffset + int64(len(page.Records))
	c.ready = c.ready || c.next >= page.Next
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

func (c *Coordinator) applyLocked(raw json.RawMessage) {
	var record records.Claim
	if err := json.Unmarshal(raw, &record); err != nil {
		return
	}
	id := keyID{account: record.Account, key: record.Key}
	state := c.keys[id]
	if record.Step == records.ClaimStart {
		if state == nil {
			c.keys[id] = &keyState{claimID: record.ClaimID, fingerprint: record.Fingerprint, step: record.Step}
		}
		return
	}
	if state == nil || state.claimID != record.ClaimID || state.step != records.ClaimStart {
		return
	}
	if record.Step == records.ClaimReleased {
		delete(c.keys, id)
		return
	}
	state.step, state.answer = record.Step, record.Answer
}

// Do runs the call at most once and returns its answer or the refusal.
func (c *Coordinator) Do(ctx context.Context, call Call, send Send) (*records.KeptAnswer, *refusal.Refusal) {
	if answer, refused, known := c.settled(call); known {
		return answer, refused
	}
	claimID := xid.New().String()
	if refused := c.claim(ctx, call, claimID); refused != nil {
		return nil, refused
	}
	won, refused := c.awaitTurn(ctx, call, claimID)
	if refused != nil {
		return nil, refused
	}
	if !won {
		answer, refused, _ := c.settled(call)
		return answer, refused
	}
	return c.perform(ctx, call, claimID, send)
}

// settled returns what is already known of a key.
func (c *Coordinator) settled(call Call) (*records.KeptAnswer, *refusal.Refusal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready {
		return nil, refusal.New(refusal.KindLogUnavailable, "this instance has not read the claims yet", "repeat the call with the same Idempotency-Key").After(retryAfter), true
	}
	state := c.keys[keyID{account: call.Account, key: call.Key}]
	switch {
	case state == nil:
		return nil, nil, false
	case state.fingerprint != call.Fingerprint:
		return nil, refusal.New(refusal.KindKeyReused, "the Idempotency-Key belongs to another call", "use a new key for a new call"), true
	case state.step == records.ClaimDone:
		return state.answer, nil, true
	case state.step == records.ClaimUnknown:
		return nil, unknown("the answer of the call was lost"), true
	default:
		return nil, refusal.NewUnknown(refusal.KindInProgress, "the call is in progress on another connection", "repeat the call with the same Idempotency-Key").After(retryAfter), true
	}
}

func unknown(message string) *refusal.Refusal {
	return refusal.NewUnknown(refusal.KindBackendUnavailable, message, "read the status of the key at the service to learn whether the call took effect")
}

func (c *Coordinator) claim(ctx context.Context, call Call, claimID string) *refusal.Refusal {
	_, err := c.append(ctx, records.Claim{Step: records.ClaimStart, Account: call.Account, Key: call.Key, ClaimID: claimID, Fingerprint: call.Fingerprint})
	if err == nil {
		return nil
	}
	// This instance sends nothing without having read its claim back, so the
	// call has not run, whatever became of the append.
	return refusal.New(refusal.KindLogUnavailable, "the call could not be claimed", "repeat the call with the same Idempotency-Key").After(retryAfter)
}

// awaitTurn waits until the stream shows who holds the key.
func (c *Coordinator) awaitTurn(ctx context.Context, call Call, claimID string) (bool, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	id := keyID{account: call.Account, key: call.Key}
	for {
		c.mu.Lock()
		state, changed := c.keys[id], c.changed
		c.mu.Unlock()
		if state != nil {
			return state.claimID == claimID, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, refusal.New(refusal.KindLogUnavailable, "the claim was not read back in time", "repeat the call with the same Idempotency-Key").After(retryAfter)
		}
	}
}

func (c *Coordinator) perform(ctx context.Context, call Call, claimID string, send Send) (*records.KeptAnswer, *refusal.Refusal) {
	answer, mayHaveRun, err := send(ctx)
	record := records.Claim{Account: call.Account, Key: call.Key, ClaimID: claimID, Fingerprint: call.Fingerprint}
	switch {
	case err == nil:
		record.Step, record.Answer = records.ClaimDone, answer
	case mayHaveRun:
		record.Step = records.ClaimUnknown
	default:
		record.Step = records.ClaimReleased
	}
	c.appendOutcome(record)
	switch {
	case err == nil:
		return answer, nil
	case mayHaveRun:
		return nil, unknown(err.Error())
	default:
		return nil, refusal.New(refusal.KindBackendUnavailable, err.Error(), "repeat the call with the same Idempotency-Key").After(retryAfter)
	}
}

// appendOutcome does not end with the caller's request.
func (c *Coordinator) appendOutcome(record records.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := c.append(ctx, record); err == nil {
			return
		}
		sleep(ctx, outageWait)
	}
}

func (c *Coordinator) append(ctx context.Context, record records.Claim) (int64, error) {
	record.Writer = c.writer
	record.Writer.Sequence = c.sequence.Add(1)
	raw, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	return c.log.Append(ctx, platform.StreamClaims, []json.RawMessage{raw})
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}
