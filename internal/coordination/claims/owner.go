package claims

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
)

const (
	forwardLinger  = time.Millisecond
	forwardTimeout = 700 * time.Millisecond
	// suspectDuration is how long an owner that did not answer is passed over.
	suspectDuration = 5 * time.Second
	// ownersMaxAge is how long computed owners stay in use.
	ownersMaxAge = time.Second
)

// ErrForward is the kind of error of a peer that did not answer.
var ErrForward = merry.Sentinel("owner of the shard did not answer; append the records without it")

var (
	forwardedRecords = expvar.NewInt("claims_forwarded_records")
	forwardFailures  = expvar.NewInt("claims_forward_failures")
	logAppends       = expvar.NewInt("claims_appends")
)

// Fleet knows the live entry instances, this one included while it stays.
type Fleet interface {
	EntryInstances() []platform.Instance
}

// Forwarder hands records to the owner at a control address. The error is of
// the kind ErrForward, eventlog.ErrNotAppended or eventlog.ErrAppendUnknown.
type Forwarder interface {
	Forward(ctx context.Context, address string, records []json.RawMessage) error
}

// OwnerAppender appends the records of a shard through its owner, the entry
// instance with the highest hash of shard and instance (rendezvous hashing,
// Thaler and Ravishankar 1998). Owners only gather: whoever appends a record,
// its place in the log decides, so that a stale owner does no harm. It is safe
// for concurrent use.
type OwnerAppender struct {
	self    string
	fleet   Fleet
	forward Forwarder
	local   *Batcher

	mu       sync.Mutex
	owners   [ShardCount]platform.Instance
	computed time.Time
	remote   map[string]*Batcher
	suspects map[string]time.Time
}

// NewOwnerAppender returns an appender of the named instance.
func NewOwnerAppender(log eventlog.Log, self string, fleet Fleet, forward Forwarder) *OwnerAppender {
	sink := func(ctx context.Context, records []json.RawMessage) error {
		logAppends.Add(1)
		_, err := log.Append(ctx, platform.StreamClaims, records)
		return err
	}
	return &OwnerAppender{
		self:     self,
		fleet:    fleet,
		forward:  forward,
		local:    NewBatcher(sink, DefaultBatchOptions()),
		remote:   map[string]*Batcher{},
		suspects: map[string]time.Time{},
	}
}

// Append implements Appender.
func (a *OwnerAppender) Append(ctx context.Context, shard int, record json.RawMessage) error {
	return a.batcherOf(shard).Append(ctx, record)
}

// Accept appends records that a peer forwarded.
func (a *OwnerAppender) Accept(ctx context.Context, records []json.RawMessage) error {
	return a.local.Append(ctx, records...)
}

// Owns reports whether this instance takes itself for the owner of a shard.
func (a *OwnerAppender) Owns(shard int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ownerLocked(shard).ID == a.self
}

func (a *OwnerAppender) batcherOf(shard int) *Batcher {
	a.mu.Lock()
	defer a.mu.Unlock()
	owner := a.ownerLocked(shard)
	suspect := time.Now().Before(a.suspects[owner.ControlAddress])
	if owner.ID == a.self || owner.ControlAddress == "" || suspect {
		return a.local
	}
	batcher, ok := a.remote[owner.ControlAddress]
	if !ok {
		batcher = NewBatcher(a.forwardTo(owner.ControlAddress), forwardOptions())
		a.remote[owner.ControlAddress] = batcher
	}
	return batcher
}

func forwardOptions() BatchOptions {
	options := DefaultBatchOptions()
	options.Linger, options.PerSecond = forwardLinger, 0
	options.Timeout += forwardTimeout
	return options
}

func (a *OwnerAppender) forwardTo(address string) Sink {
	return func(ctx context.Context, records []json.RawMessage) error {
		limited, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		err := a.forward.Forward(limited, address, records)
		if !errors.Is(err, ErrForward) {
			forwardedRecords.Add(int64(len(records)))
			return err
		}
		forwardFailures.Add(1)
		a.suspect(address)
		// The owner may append them too; readers drop the repeats.
		if err := a.local.Append(ctx, records...); err != nil {
			return merry.Prepend(eventlog.ErrAppendUnknown, err.Error())
		}
		return nil
	}
}

func (a *OwnerAppender) suspect(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.suspects[address] = time.Now().Add(suspectDuration)
}

func (a *OwnerAppender) ownerLocked(shard int) platform.Instance {
	if time.Since(a.computed) > ownersMaxAge {
		a.computed = time.Now()
		instances := a.fleet.EntryInstances()
		for i := range a.owners {
			a.owners[i] = ownerOf(i, instances)
		}
		a.dropRemoved(instances)
		a.local.SetPerSecond(float64(fleetAppends) / float64(max(1, min(ShardCount, len(instances)))))
	}
	return a.owners[shard]
}

// dropRemoved drops the batchers of instances that have left.
func (a *OwnerAppender) dropRemoved(instances []platform.Instance) {
	live := map[string]bool{}
	for _, instance := range instances {
		live[instance.ControlAddress] = true
	}
	for address := range a.remote {
		if !live[address] {
			delete(a.remote, address)
		}
	}
	for address := range a.suspects {
		if !live[address] {
			delete(a.suspects, address)
		}
	}
}

func ownerOf(shard int, instances []platform.Instance) platform.Instance {
	var owner platform.Instance
	var highest uint64
	for _, instance := range instances {
		score := xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(instance.ID), uint64(shard)))
		if owner.ID == "" || score > highest {
			owner, highest = instance, score
		}
	}
	return owner
}
