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
	// snapshotMinimum is the number of records in the stream below which no
	// snapshot is taken.
	snapshotMinimum = 1000
	snapshotBatch   = 200 // maximum records per append
)

var (
	keptKeys        = expvar.NewInt("claims_keys")
	snapshotRecords = expvar.NewInt("claims_snapshot_records")
)

// Sweep appends snapshots of the shards that this instance owns before
// retention removes their claims, and removes keys that are older than the
// window, until ctx ends.
func (c *Coordinator) Sweep(ctx context.Context) error {
	pause.Every(ctx, sweepInterval, func() { c.sweepAll(ctx) })
	return nil
}

// sweepAll sweeps all shards once and updates the number of keys.
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

// sweep appends a snapshot of a shard's claims in the older half of the stream,
// and a checkpoint. It does so when the last checkpoint covers less than the
// oldest quarter of the stream.
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

// appendBatch appends records directly rather than through the appender, since a
// checkpoint must follow its snapshot.
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

// checkpointDue reports whether the last checkpoint read does not cover all
// claims below an offset.
func (s *shard) checkpointDue(below int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coveredBelow < below
}

// snapshot returns snapshot records for every key whose latest record is below
// through, ordered by the offset of that record.
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

// record returns the snapshot record of a key, or the record that ends its window
// if the claim is older than Window.
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

// dropFree removes free keys whose fence is below the oldest record, since no
// claim in flight can depend on them. It returns the number of remaining keys.
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
