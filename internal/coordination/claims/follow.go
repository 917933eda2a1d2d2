package claims

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	readLimit = 500 // maximum of records per page
	// pageRecordBytes is the memory of a record with the largest answer while its page is read: its answer in
	// base64 in the response and in the decoded page.
	pageRecordBytes = 2 * (maxKeptBytes*4/3 + 1<<10)
	readWait        = 10 * time.Second // maximum wait of one read for the next record
	// retryDelay is the delay after a failed read, and the first one after a
	// failed append of an outcome.
	retryDelay = 200 * time.Millisecond
)

// Counters of this package.
var (
	claimBytes    = expvar.NewInt("claims_bytes_read")
	claimRecords  = expvar.NewInt("claims_records_read")
	badRecords    = expvar.NewInt("claims_unreadable_records")
	bookingCount  = expvar.NewMap("bookings")
	lateReleases  = expvar.NewInt("claims_released_late")
	pendingWrites = expvar.NewInt("claims_outcomes_pending")
)

// Run follows the claims stream until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.readPage(ctx); err != nil {
			pause.For(ctx, retryDelay)
		}
	}
	return nil
}

// readPage reads and applies one page of the claims stream. Until the end of the
// stream is reached for the first time, it does not wait for new records.
func (c *Coordinator) readPage(ctx context.Context) error {
	from, wait := c.nextOffset.Load(), readWait
	if !c.caughtUp.Load() {
		wait = 0
	}
	page, err := c.log.Read(ctx, platform.StreamClaims, from, c.pageRecords, wait)
	if err != nil {
		return err
	}
	c.noteGap(from, page)
	for i, raw := range page.Records {
		offset := page.FirstOffset + int64(i)
		c.applyRecord(offset, raw)
		c.nextOffset.Store(offset + 1)
	}
	c.oldestOffset.Store(page.Oldest)
	if c.nextOffset.Load() >= page.Next {
		c.caughtUp.Store(true)
	}
	return nil
}

// noteGap detects records that retention removed before they were read, and
// continues after them.
func (c *Coordinator) noteGap(from int64, page *platform.ReadResponse) {
	if page.FirstOffset <= from {
		return
	}
	logrus.WithFields(logrus.Fields{"from": from, "to": page.FirstOffset}).Warn("claims were removed by retention before they were read; unknown keys are refused until a checkpoint covers them")
	for _, s := range c.shards {
		s.noteGap(page.FirstOffset)
	}
	c.gapAt.Store(c.now().UnixNano())
	c.nextOffset.Store(page.FirstOffset)
}

// applyRecord decodes one record and applies it to its shard.
func (c *Coordinator) applyRecord(offset int64, raw json.RawMessage) {
	claimRecords.Add(1)
	claimBytes.Add(int64(len(raw)))
	var record records.Claim
	if err := json.Unmarshal(raw, &record); err != nil {
		badRecords.Add(1)
		return
	}
	index := record.Shard
	if record.Step != records.ClaimCheckpoint {
		index = shardOf(record.Key)
	}
	if index < 0 || index >= ShardCount {
		badRecords.Add(1)
		return
	}
	result, waited := c.shards[index].applyRecord(offset, &record, c.now())
	c.answers.enforce()
	if result == effectAccepted && !waited && c.isOwn(record.Writer) {
		c.releaseLate(&record)
	}
}

// isOwn reports whether this run of the instance wrote a record.
func (c *Coordinator) isOwn(w records.Writer) bool {
	return w.Instance == c.writer.Instance && w.Incarnation == c.writer.Incarnation
}

// releaseLate releases a key whose claim took effect after its caller was
// answered.
func (c *Coordinator) releaseLate(record *records.Claim) {
	if _, do := next(stepCancelled, eventAccepted); do != actionRelease {
		return
	}
	lateReleases.Add(1)
	c.record(records.Claim{Step: records.ClaimReleased, Account: record.Account, Key: record.Key, ClaimID: record.ClaimID}, func() {})
}

// complete reports whether this instance has every claim of the window in a
// shard, so that a key without an entry is unclaimed. Missed claims no longer
// count once the window has passed since the gap.
func (c *Coordinator) complete(s *shard) bool {
	return c.caughtUp.Load() && (s.complete() || c.now().UnixNano()-c.gapAt.Load() > int64(Window+windowMargin))
}

// Position returns the offset that follows the last record read.
func (c *Coordinator) Position() int64 { return c.nextOffset.Load() }
