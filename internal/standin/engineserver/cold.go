package engineserver

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// coldState models the cold start of an engine: after each start it can handle
// only a few concurrent requests, and crashes under more.
type coldState struct {
	limit     int64
	warmAfter int

	mu               sync.Mutex
	started          time.Time
	answersUntilWarm int
	crashes          int
}

func newColdness(config *Config) *coldState {
	c := &coldState{limit: int64(config.ColdLimit), warmAfter: config.ColdAnswers}
	c.restart(time.Now())
	return c
}

// restart makes the engine cold again, with the given start time.
func (c *coldState) restart(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = started
	c.answersUntilWarm = c.warmAfter
}

// crashesUnder reports whether the engine is cold and crashes under the given
// number of concurrent requests. After a crash it restarts at once, cold.
func (c *coldState) crashesUnder(running int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit <= 0 || c.answersUntilWarm <= 0 || running <= c.limit {
		return false
	}
	c.crashes++
	c.answersUntilWarm = c.warmAfter
	c.started = c.started.Add(time.Second)
	return true
}

// answered counts a successful answer towards the end of the cold start.
func (c *coldState) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersUntilWarm = max(c.answersUntilWarm-1, 0)
}

func (c *coldState) writeMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(w, "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds %d\n", c.started.Unix())
}

// RestartAt makes the engine cold without an announcement, as if its process
// had restarted at the given time.
func (e *Engine) RestartAt(started time.Time) { e.cold.restart(started) }

// ColdCrashes returns how often the engine crashed because it received more
// concurrent requests than it can handle while cold.
func (e *Engine) ColdCrashes() int {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	return e.cold.crashes
}
