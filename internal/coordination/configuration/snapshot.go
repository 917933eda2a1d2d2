package configuration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	// SnapshotInterval is the minimum time between two snapshots as one instance
	// observes them. The log service must retain records for at least three times
	// as long.
	SnapshotInterval = 10 * time.Minute
	// urgentWindow is the time over which instances spread their snapshots once
	// the log holds none from which a new instance could start.
	urgentWindow = 10 * time.Second
	// snapshotCheckInterval is the time between two checks whether a snapshot is
	// due.
	snapshotCheckInterval = time.Second
)

// snapshotSchedule decides when this instance repeats the document in force.
// There is no leader: each instance waits for a random time after the last
// snapshot that it read, so that the first snapshot suppresses those of the other
// instances, as in the Trickle algorithm (RFC 6206).
type snapshotSchedule struct {
	mu sync.Mutex
	// startOffset is the highest offset from which a new instance could start: that
	// of the newest snapshot, or 0 for the start of the stream.
	startOffset int64
	oldestKept  int64
	dueAt       time.Time
	// random is nil where this instance writes no snapshots.
	random *rand.Rand
}

// start starts the schedule with a random source for the waits.
func (c *snapshotSchedule) start(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random = random
	c.scheduleNext(SnapshotInterval, SnapshotInterval)
}

// scheduleNext makes the next snapshot due after minWait plus a random part of
// window.
func (c *snapshotSchedule) scheduleNext(minWait, window time.Duration) {
	if c.random != nil {
		c.dueAt = time.Now().Add(minWait + time.Duration(c.random.Int64N(int64(window))))
	}
}

// noteSnapshot restarts the wait after a snapshot that is newer than the last.
func (c *snapshotSchedule) noteSnapshot(asOf int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf <= c.startOffset {
		return
	}
	c.startOffset = asOf
	c.scheduleNext(SnapshotInterval, SnapshotInterval)
}

// noteOldest updates the oldest kept offset. When it passes startOffset, a
// snapshot becomes due within urgentWindow.
func (c *snapshotSchedule) noteOldest(oldest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasKept := c.startOffset >= c.oldestKept
	c.oldestKept = max(c.oldestKept, oldest)
	if wasKept && c.startOffset < c.oldestKept {
		c.scheduleNext(0, urgentWindow)
	}
}

func (c *snapshotSchedule) isDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random != nil && !time.Now().Before(c.dueAt)
}

// postpone delays the next snapshot until the one just written has had time to
// be read back.
func (c *snapshotSchedule) postpone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduleNext(urgentWindow, urgentWindow)
}

// Snapshotter repeats the document in force on the log before retention removes
// it, so that instances that start later can read it there.
type Snapshotter struct {
	store    *Store
	follower *Follower
	log      eventlog.Log
	budget   *eventlog.Budget
	writer   records.Writer
}

// NewSnapshotter returns a snapshotter for one run of an instance. It writes the
// state that the follower has read, within the append budget.
func NewSnapshotter(follower *Follower, log eventlog.Log, budget *eventlog.Budget, instance, incarnation string) *Snapshotter {
	follower.schedule.start(newRandom(instance, incarnation))
	return &Snapshotter{
		store:    follower.store,
		follower: follower,
		log:      log,
		budget:   budget,
		writer:   records.Writer{Instance: instance, Incarnation: incarnation},
	}
}

// Run writes snapshots when they are due until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	pause.Every(ctx, snapshotCheckInterval, func() {
		if s.follower.schedule.isDue() {
			s.write(ctx)
		}
	})
	return nil
}

// write appends one snapshot when the budget allows it. If the append fails, or
// its effect is unknown, the next snapshot is due soon unless this one is read
// back; a second copy is harmless.
func (s *Snapshotter) write(ctx context.Context) {
	s.follower.schedule.postpone()
	wait := time.NewTimer(s.budget.Reserve(time.Now()))
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
		return
	}
	if err := s.Append(ctx); err != nil {
		logrus.WithError(err).Debug("configuration snapshot was not appended")
	}
}

// Append appends a snapshot immediately. It does nothing while the position is
// unknown or no record has been read. The error is that of eventlog.Log.
func (s *Snapshotter) Append(ctx context.Context) error {
	record := s.store.snapshot()
	if record == nil || record.AsOf == 0 {
		return nil
	}
	s.writer.Sequence++
	record.Writer = s.writer
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, platform.StreamConfiguration, []json.RawMessage{raw})
	return err
}
