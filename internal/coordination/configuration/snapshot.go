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
	// SnapshotInterval is the shortest time between two snapshots as one
	// instance sees it. The log service must keep records for at least three
	// times as long.
	SnapshotInterval = 10 * time.Minute
	// urgentWindow spreads the snapshots that are written as soon as none is
	// left that a new instance could start from.
	urgentWindow = 10 * time.Second
	// snapshotCheckInterval is the time between two looks at whether one is due.
	snapshotCheckInterval = time.Second
)

// snapshotSchedule says when this instance should repeat the document in force.
// No instance leads: each waits for a random time after the last snapshot
// that it saw, so that the first one's silences the others, as in the Trickle
// algorithm (RFC 6206).
type snapshotSchedule struct {
	mu sync.Mutex
	// startOffset is the highest offset from which a new instance could start.
	startOffset int64
	oldestKept  int64
	dueAt       time.Time
	// random is nil where this instance writes no snapshots.
	random *rand.Rand
}

// start makes snapshots due at times drawn from a random source.
func (c *snapshotSchedule) start(random *rand.Rand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.random = random
	c.scheduleNext(SnapshotInterval, SnapshotInterval)
}

// scheduleNext draws the time at which the next snapshot is due.
func (c *snapshotSchedule) scheduleNext(minWait, window time.Duration) {
	if c.random != nil {
		c.dueAt = time.Now().Add(minWait + time.Duration(c.random.Int64N(int64(window))))
	}
}

func (c *snapshotSchedule) noteSnapshot(asOf int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf <= c.startOffset {
		return
	}
	c.startOffset = asOf
	c.scheduleNext(SnapshotInterval, SnapshotInterval)
}

// noteOldest notes the oldest kept offset. Where it has passed the anchor, a
// snapshot is wanted at once.
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

// postpone waits for a snapshot just written to be read back.
func (c *snapshotSchedule) postpone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scheduleNext(urgentWindow, urgentWindow)
}

// Snapshotter repeats the document in force on the log before retention
// removes it, so that an instance which starts later finds it there.
type Snapshotter struct {
	store    *Store
	follower *Follower
	log      eventlog.Log
	budget   *eventlog.Budget
	writer   records.Writer
}

// NewSnapshotter returns a snapshotter that writes as one run of an instance
// what its follower has read, within its append budget.
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

// write appends one snapshot. Where that fails, or its effect is unknown, the
// next one is due soon unless this one is read back; a second copy is
// harmless.
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

// Append appends a snapshot now. It does nothing while the position is not
// known or nothing was read yet. The error is that of eventlog.Log.
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
