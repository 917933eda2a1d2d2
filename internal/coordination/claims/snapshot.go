package claims

import (
	"context"
	"encoding/json"
	"expvar"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	sweepInterval = 5 * time.Second
	// snapshotMinimum is the length of the stream below which nothing is
	// appended again.
	snapshotMinimum = 1000
	snapshotBatch   = 200 // records of one append
)

var (
	keptKeys        = expvar.NewInt("claims_keys")
	snapshotRecords = expvar.NewInt("claims_snapshot_records")
)

// Sweep appends claims of the own shards again before retention removes them,
// and ends the window of old keys, until ctx ends.
func (c *Coordinator) Sweep(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func() { c.sweepAll(ctx) })
	return nil
}

func (c *Coordinator) sweepAll(ctx context.Context) {
	kept := 0
	for index, s := range c.shards {
		kept += s.dropFree(c.oldestOffset.Load())
		if !c.owns(index) || !c.complete(s) {
			continue
		}
		if err := c.sweep(ctx, index); err != nil {
			logrus.WithField("shard", index).Warnf("claims were not appended again, the next sweep tries once more: %v", err)
		}
	}
	keptKeys.Set(int64(kept))
	c.keyCount.Store(int64(kept))
}

// sweep appends the older half of the stream's claims of a shard again once
// the part covered by the last checkpoint has come near the oldest record.
func (c *Coordinator) sweep(ctx context.Context, index int) error {
	oldest, end := c.oldestOffset.Load(), c.nextOffset.Load()
	through := oldest + (end-oldest)/2
	due := c.shards[index].checkpointDue(oldest + (end-oldest)/4)
	if end-oldest < snapshotMinimum || !due {
		return nil
	}
	batch := []records.Claim{}
	for _, record := range c.shards[index].snapshot(through, c.now()) {
		batch = append(batch, record)
		if len(batch) == snapshotBatch {
			if err := c.appendBatch(ctx, batch); err != nil {
				return err
			}
			batch = batch[:0]
		}
	}
	batch = append(batch, records.Claim{Step: records.ClaimCheckpoint, Shard: index, Through: through})
	return c.appendBatch(ctx, batch)
}

// appendBatch appends directly, since the order of snapshot and checkpoint
// counts.
func (c *Coordinator) appendBatch(ctx context.Context, batch []records.Claim) error {
	raws := make([]json.RawMessage, len(batch))
	for i, record := range batch {
		record.Writer = c.writer
		record.Writer.Sequence = c.sequence.Add(1)
		raw, err := json.Marshal(record)
		if err != nil {
			return err
		}
		raws[i] = raw
	}
	snapshotRecords.Add(int64(len(raws)))
	ctx, cancel := context.WithTimeout(ctx, DefaultBatchOptions().Timeout)
	defer cancel()
	_, err := c.log.Append(ctx, platform.StreamClaims, raws)
	return err
}

// checkpointDue reports whether the checkpoint read last covers less than it should.
func (s *shard) checkpointDue(below int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coveredBelow < below
}

// snapshot returns the records that carry on every key whose latest record
// lies below through, in their order.
func (s *shard) snapshot(through int64, now time.Time) []records.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []records.Claim{}
	for id, e := range s.keys {
		if e.phase == phaseFree || e.offset >= through {
			continue
		}
		found = append(found, e.record(id, now))
	}
	slices.SortFunc(found, func(a, b records.Claim) int { return int(a.Origin - b.Origin) })
	return found
}

func (e *entry) record(id keyID, now time.Time) records.Claim {
	age := e.ageAtRead + now.Sub(e.readAt)
	r := records.Claim{
		Account: id.account, Key: id.key, ClaimID: e.claimID, Fingerprint: e.fingerprint, Answer: e.answer,
		Snapshot: true, Origin: e.offset, AgeSeconds: int64(age / time.Second),
	}
	switch {
	case age > Window:
		r.Step, r.Snapshot, r.Answer = records.ClaimForgotten, false, nil
	case e.phase == phaseDone:
		r.Step = records.ClaimDone
	case e.phase == phaseUnknown:
		r.Step = records.ClaimUnknown
	default:
		r.Step = records.ClaimStart
	}
	return r
}

// dropFree drops free keys that no claim on its way can concern any more, and
// returns how many keys are left.
func (s *shard) dropFree(oldest int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.keys {
		if e.phase == phaseFree && e.fence < oldest {
			delete(s.keys, id)
		}
	}
	return len(s.keys)
}
