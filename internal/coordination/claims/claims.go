// Package claims lets a non-idempotent call run at most once in the fleet. A
// claim of the call's key is appended to the log before the call is sent; the
// first claim of a key in log order may run it, and its outcome is appended
// after. Every instance follows the stream, so that a repeat of the call
// through another instance meets the same outcome. Only the instance that
// claimed a key ever frees it, and only where it never sent the call.
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
	// Window is how long a key and its answer are kept at least.
	Window = 24 * time.Hour
	// windowMargin covers the difference of two clocks.
	windowMargin = time.Hour
	// lease bounds the time from the append of a claim to the send.
	lease = 3 * time.Second
	// outcomeWait is how long a caller waits for its outcome to be recorded.
	outcomeWait = time.Second
	// finishTimeout bounds the wait of a planned stop for the last outcomes.
	finishTimeout = time.Minute
	retryAfter    = time.Second
	// maxKeptBytes bounds the answer kept for repeats.
	maxKeptBytes = 16 << 10
	// MaxKeys bounds the keys kept, at about 560 bytes each; at the bound, new
	// keys are refused and none is forgotten.
	MaxKeys = 100_000
	// callSlack is added to the life of a call before others look after it.
	callSlack = 2 * lease
)

// Call is one non-idempotent call.
type Call struct {
	Account string
	Key     string
	// Fingerprint is a hash of all that the call would do.
	Fingerprint string
	// Timeout bounds the call itself.
	Timeout time.Duration
	// Status reads at the service whether the call took effect, and returns
	// nil where the service knows of no effect. It is nil where the service
	// has no such read.
	Status func(ctx context.Context) (*records.KeptAnswer, error)
	// StatusHint names the status read to people.
	StatusHint string
}

// Send performs the call. MayHaveRun of its result is false only where the
// call certainly had no effect and will have none.
type Send func(ctx context.Context) (answer *records.KeptAnswer, mayHaveRun bool, err error)

// Appender appends records of a shard to the claims stream. The error is of
// the kind eventlog.ErrNotAppended or eventlog.ErrAppendUnknown.
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
	caughtUp     atomic.Bool
	keyCount     atomic.Int64 // keys at the last sweep
	gapAt        atomic.Int64 // nanoseconds of the wall clock of this instance
	breaker      appendBreaker
	shards       [ShardCount]*shard
	outcomes     sync.WaitGroup
}

// New returns a coordinator that writes as the given instance and appends the
// claims of the shards again that it owns.
func New(log eventlog.Log, appender Appender, owns func(shard int) bool, instance, incarnation string) *Coordinator {
	c := &Coordinator{
		log:      log,
		appender: appender,
		owns:     owns,
		writer:   records.Writer{Instance: instance, Incarnation: incarnation},
		now:      time.Now,
	}
	for i := range c.shards {
		c.shards[i] = newShard()
	}
	return c
}

// Do runs the call at most once and returns its answer or the refusal.
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
	// A claim that was read back is not waited for any longer.
	if !errors.Is(ctx.Err(), context.Canceled) {
		c.breaker.report(c.now(), err)
	}
	return err
}

// record appends an outcome until the log has it; the returned channel is
// closed then. It does not end with the caller's request.
func (c *Coordinator) record(record records.Claim) <-chan struct{} {
	done := make(chan struct{})
	pendingWrites.Add(1)
	c.outcomes.Go(func() {
		defer close(done)
		defer pendingWrites.Add(-1)
		_, _ = backoff.Retry(context.Background(), func() (struct{}, error) {
			return struct{}{}, c.append(context.Background(), record)
		}, backoff.WithBackOff(outcomeBackOff()), backoff.WithMaxElapsedTime(0))
	})
	return done
}

func outcomeBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryDelay
	b.MaxInterval = 5 * time.Second
	return b
}

// Finish waits after ctx has ended until the last outcomes are recorded. It
// runs beside the requests of an instance and ends its planned stop.
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

// appendBreaker remembers that the log takes no appends, so that requests are
// refused at once rather than each after its own wait.
type appendBreaker struct {
	failures atomic.Int64
	until    atomic.Int64
}

const (
	breakerThreshold = 3 // failures in a row
	probeInterval    = 500 * time.Millisecond
)

func (o *appendBreaker) report(now time.Time, err error) {
	if err == nil {
		o.failures.Store(0)
		return
	}
	if o.failures.Add(1) >= breakerThreshold {
		o.until.Store(now.Add(probeInterval).UnixNano())
	}
}

// rejects reports whether requests are refused; one in each interval is let
// through as a probe.
func (o *appendBreaker) rejects(now time.Time) bool {
	until := o.until.Load()
	if o.failures.Load() < breakerThreshold {
		return false
	}
	if now.UnixNano() < until {
		return true
	}
	return !o.until.CompareAndSwap(until, now.Add(probeInterval).UnixNano())
}
