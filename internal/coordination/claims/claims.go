// Package claims executes a non-idempotent call at most once in the fleet.
// Before a call is sent, a claim of its idempotency key is appended to the log.
// The first claim of a key in log order may send the call, and appends its
// outcome afterwards. Every instance follows the stream, so that a repeated
// call gets the same outcome through any instance. Only the instance that
// claimed a key can release it, and only if it never sent the call.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/rs/xid"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
)

const (
	// Window is the minimum time for which a key and its answer are kept.
	Window = 24 * time.Hour
	// windowMargin allows for clock skew between machines.
	windowMargin = time.Hour
	// lease bounds the time from the arrival of a request, before its claim is
	// appended, to the send.
	lease = 3 * time.Second
	// outcomeWait bounds how long a caller waits for its outcome to be recorded.
	outcomeWait = time.Second
	// finishTimeout bounds the wait for the last outcomes in a graceful shutdown.
	finishTimeout = time.Minute
	retryAfter    = time.Second
	// maxKeptBytes bounds the body of an answer that is kept for repeated calls.
	maxKeptBytes = 16 << 10
	// MaxKeys bounds the number of keys in memory. At the bound, new keys are
	// refused and no key is evicted.
	MaxKeys = 100_000
	// callSlack is added to the timeout of a call before a repeated call treats
	// its outcome as lost.
	callSlack = 2 * lease
)

// Call is one non-idempotent call.
type Call struct {
	Account string
	Key     string
	// Fingerprint is a hash of everything that determines the effect of the
	// call.
	Fingerprint string
	// Timeout bounds the call itself.
	Timeout time.Duration
	// Status queries the service for the effect of the call, and returns nil if
	// the service reports none. It is nil if the service has no status query.
	Status func(ctx context.Context) (*records.KeptAnswer, error)
	// StatusHint describes the status query in messages to users.
	StatusHint string
}

// Send performs the call. Its result mayHaveRun is false only if the call
// certainly had no effect and will have none.
type Send func(ctx context.Context) (answer *records.KeptAnswer, mayHaveRun bool, err error)

// Appender appends a record of a shard to the claims stream. The error is of the
// kind eventlog.ErrNotAppended or eventlog.ErrAppendUnknown.
type Appender interface {
	Append(ctx context.Context, shard int, record json.RawMessage) error
}

// Coordinator runs non-idempotent calls. It is safe for concurrent use.
type Coordinator struct {
	log      eventlog.Log
	appender Appender
	writer   records.Writer
	now      func() time.Time
	owns     func(shard int) bool

	sequence     atomic.Uint64
	nextOffset   atomic.Int64
	oldestOffset atomic.Int64
	caughtUp     atomic.Bool  // set once the end of the stream has been read
	keyCount     atomic.Int64 // number of keys at the last sweep
	gapAt        atomic.Int64 // time of the last gap, in Unix nanoseconds
	breaker      appendBreaker
	shards       [ShardCount]*shard
	outcomes     sync.WaitGroup
	// answers bounds the answers in memory, and answerReads has a place for each read of a dropped one.
	answers     answerMemory
	answerReads chan struct{}
	// pageRecords is the maximum of records that are read at once.
	pageRecords int
	keys        keyMemory
}

// New returns a coordinator that writes as the given instance, and that appends
// snapshots of the shards for which owns returns true.
func New(log eventlog.Log, appender Appender, owns func(shard int) bool, instance, incarnation string) *Coordinator {
	c := &Coordinator{
		log:      log,
		appender: appender,
		owns:     owns,
		writer:   records.Writer{Instance: instance, Incarnation: incarnation},
		now:      time.Now,

		answerReads: make(chan struct{}, answerReads),
		pageRecords: readLimit,
	}
	for i := range c.shards {
		c.shards[i] = newShard(&c.answers, &c.keys)
	}
	return c
}

// Do runs the call at most once in the fleet. It returns either the answer, which
// may be that of an earlier call with the same key, or a refusal.
func (c *Coordinator) Do(ctx context.Context, call Call, send Send) (*records.KeptAnswer, *refusal.Refusal) {
	r := &request{c: c, call: &call, send: send, shard: c.shards[shardOf(call.Key)], claimID: xid.New().String(), readOffset: c.nextOffset.Load(), started: c.now()}
	answer, refused := r.run(ctx)
	if refused != nil {
		bookingCount.Add(string(refused.Outcome), 1)
		return nil, refused
	}
	bookingCount.Add("answered", 1)
	return answer, nil
}

// append appends one record of this instance.
func (c *Coordinator) append(ctx context.Context, record records.Claim) error {
	record.Writer = c.writer
	record.Writer.Sequence = c.sequence.Add(1)
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	err = c.appender.Append(ctx, shardOf(record.Key), raw)
	// If ctx was cancelled, the claim no longer waits for this append, for
	// instance because it has been read back. The result then says nothing
	// about the log.
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.breaker.report(c.now(), err)
	}
	return err
}

// record appends an outcome, and retries until the log confirms it; then it
// calls confirmed and closes the returned channel. The retries continue after the caller's request
// has ended.
func (c *Coordinator) record(record records.Claim, confirmed func()) <-chan struct{} {
	done := make(chan struct{})
	pendingWrites.Add(1)
	c.outcomes.Go(func() {
		defer close(done)
		defer pendingWrites.Add(-1)
		_, err := backoff.Retry(context.Background(), func() (struct{}, error) {
			return struct{}{}, c.append(context.Background(), record)
		}, backoff.WithBackOff(outcomeBackOff()), backoff.WithMaxElapsedTime(0))
		if err == nil {
			confirmed()
		}
	})
	return done
}

// outcomeBackOff returns the backoff between attempts to append an outcome.
func outcomeBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryDelay
	b.MaxInterval = 5 * time.Second
	return b
}

// Finish waits until ctx has ended and the last outcomes are recorded. It runs
// alongside the requests of an instance and is the last step of its graceful
// shutdown. The error means that outcomes were not recorded within finishTimeout.
func (c *Coordinator) Finish(ctx context.Context) error {
	<-ctx.Done()
	done := make(chan struct{})
	go func() {
		c.outcomes.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-time.After(finishTimeout):
		return merry.Prepend(eventlog.ErrAppendUnknown, "outcomes of bookings were not recorded before the stop")
	}
}

// appendBreaker is a circuit breaker for appends to the log. While it is open,
// requests are refused immediately instead of each waiting for its own timeout.
type appendBreaker struct {
	failures atomic.Int64
	until    atomic.Int64
}

const (
	breakerThreshold = 3 // consecutive failures that open the breaker
	probeInterval    = 500 * time.Millisecond
)

// report records the result of an append.
func (b *appendBreaker) report(now time.Time, err error) {
	if err == nil {
		b.failures.Store(0)
		return
	}
	if b.failures.Add(1) >= breakerThreshold {
		b.until.Store(now.Add(probeInterval).UnixNano())
	}
}

// rejects reports whether a request must be refused because the breaker is open.
// One request per interval passes as a probe.
func (b *appendBreaker) rejects(now time.Time) bool {
	until := b.until.Load()
	if b.failures.Load() < breakerThreshold {
		return false
	}
	if now.UnixNano() < until {
		return true
	}
	return !b.until.CompareAndSwap(until, now.Add(probeInterval).UnixNano())
}
