package claims

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
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
	// snapshotBytes is the size of the answers at which an append is made where their memory is bounded.
	snapshotBytes = 256 << 10
)

var (
	keptKeys        = expvar.NewInt("claims_keys")
	keptKeyBytes    = expvar.NewInt("claims_key_bytes")
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
	oldest, end := c.oldestOffset.Load(), c.nextOffset.Load()
	kept, due := 0, []int{}
	for index, s := range c.shards {
		kept += s.dropFree(oldest)
		if end-oldest >= snapshotMinimum && c.owns(index) && c.complete(s) && s.checkpointDue(oldest+(end-oldest)/4) {
			due = append(due, index)
		}
	}
	if err := c.sweep(ctx, due, oldest+(end-oldest)/2); err != nil {
		logrus.WithField("shards", due).Warnf("claims were not appended again, the next sweep continues: %v", err)
	}
	keptKeys.Set(int64(kept))
	keptKeyBytes.Set(c.keys.used.Load())
	c.keyCount.Store(int64(kept))
}

// sweep appends a snapshot of the claims of shards below an offset, half of the stream, and a checkpoint for each. They
// are due when the last checkpoint covers less than the oldest quarter of the stream. All shards share one pass over the
// log, since their records are mixed there. After a failure the next sweep continues, since the claims that were
// appended again are no longer below the offset.
func (c *Coordinator) sweep(ctx context.Context, due []int, through int64) error {
	w := snapshotWriter{c: c}
	dropped := droppedReader{c: c}
	incomplete := [ShardCount]bool{}
	now, places := c.now(), c.places(due, through)
	for i, p := range places {
		s := c.shards[p.shard]
		e, ok := s.entryAt(p)
		if !ok {
			continue
		}
		record := e.record(s.start, now)
		if record.Step == records.ClaimDone && record.Answer == nil {
			err := dropped.restore(ctx, &record, places[i+1:])
			if errors.Is(err, errAnswerElsewhere) {
				if !incomplete[p.shard] {
					logrus.WithField("shard", p.shard).Warnf("the shard gets no checkpoint, since a claim was not appended again: %v", err)
				}
				incomplete[p.shard] = true
				continue
			}
			if err != nil {
				return errors.Join(err, w.flush(ctx))
			}
		}
		if err := w.add(ctx, record); err != nil {
			return err
		}
	}
	for _, index := range due {
		if !incomplete[index] {
			w.batch = append(w.batch, records.Claim{Step: records.ClaimCheckpoint, Shard: index, Through: through})
		}
	}
	return w.flush(ctx)
}

// snapshotWriter appends the records of a snapshot in batches.
type snapshotWriter struct {
	c     *Coordinator
	batch []records.Claim
	// size is that of the answers in the batch.
	size int
}

func (w *snapshotWriter) add(ctx context.Context, record records.Claim) error {
	w.batch = append(w.batch, record)
	if record.Answer != nil {
		w.size += len(record.Answer.Body)
	}
	if len(w.batch) == snapshotBatch || w.c.answers.limit > 0 && w.size >= snapshotBytes {
		return w.flush(ctx)
	}
	return nil
}

func (w *snapshotWriter) flush(ctx context.Context) error {
	if len(w.batch) == 0 {
		return nil
	}
	err := w.c.appendBatch(ctx, w.batch)
	w.batch, w.size = w.batch[:0], 0
	return err
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

// place is that of an entry which a snapshot includes. A snapshot holds places in order to copy one entry at a time.
type place struct {
	// offset is that of the latest record of the key.
	offset int64
	// number is that of the entry in the table of its shard. It is valid until the next dropFree.
	number uint32
	shard  uint8
	// answered means that the record holds an answer.
	answered bool
}

// places returns the places of the keys of shards whose latest record is below through, ordered by that record.
func (c *Coordinator) places(shards []int, through int64) []place {
	count := 0
	for _, index := range shards {
		count += c.shards[index].countKeys()
	}
	found := make([]place, 0, count)
	for _, index := range shards {
		found = c.shards[index].appendPlaces(found, uint8(index), through)
	}
	slices.SortFunc(found, func(a, b place) int { return cmp.Compare(a.offset, b.offset) })
	return found
}

func (s *shard) countKeys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.count
}

func (s *shard) appendPlaces(found []place, index uint8, through int64) []place {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slot := range s.keys.slots {
		if slot == 0 {
			continue
		}
		if p := s.keys.at(slot - 1); p.phase() != phaseFree && p.position < through {
			found = append(found, place{offset: p.position, number: slot - 1, shard: index, answered: p.phase() == phaseDone})
		}
	}
	return found
}

// entryAt returns the entry at a place, unless its key has had a later record, which the snapshot doesn't have to
// include.
func (s *shard) entryAt(p place) (packedEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := *s.keys.at(p.number)
	return e, e.phase() != phaseFree && e.position == p.offset
}

// record returns the snapshot record of an entry.
func (p *packedEntry) record(start, now time.Time) records.Claim {
	e := p.unpack(start)
	return e.record(p.packedID.unpack(), now)
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
	unused := []packedID{}
	s.keys.each(func(p *packedEntry) {
		if p.phase() == phaseFree && p.position < oldest {
			unused = append(unused, p.packedID)
		}
	})
	for _, id := range unused {
		s.memory.used.Add(-s.keys.get(id).bytes())
		s.keys.remove(id)
	}
	s.keys.compact()
	return s.keys.count
}
