package engineserver

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// coldness is the behaviour of an engine after its start: it bears only a few
// requests at once and falls over under more.
type coldness struct {
	limit   int64
	answers int

	mu      sync.Mutex
	started time.Time
	left    int
	falls   int
}

func newColdness(config *Config) *coldness {
	c := &coldness{limit: int64(config.ColdLimit), answers: config.ColdAnswers}
	c.turnCold(time.Now())
	return c
}

// turnCold begins a new run of the engine.
func (c *coldness) turnCold(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = started
	c.left = c.answers
}

// fallsOver reports whether a cold engine that runs so many requests falls
// over. It starts again at once, cold.
func (c *coldness) fallsOver(running int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit <= 0 || c.left <= 0 || running <= c.limit {
		return false
	}
	c.falls++
	c.left = c.answers
	c.started = c.started.Add(time.Second)
	return true
}

// answered counts a good answer, which warms the engine.
func (c *coldness) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = max(c.left-1, 0)
}

func (c *coldness) writeMetrics(w io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(w, "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds %d\n", c.started.Unix())
}

// TurnCold makes the engine cold without an announcement, as if its process
// had started at the given time.
func (e *Engine) TurnCold(started time.Time) { e.cold.turnCold(started) }

// Falls returns how often the engine fell over because it received more than
// it bears while cold.
func (e *Engine) Falls() int {
	e.cold.mu.Lock()
	defer e.cold.mu.Unlock()
	return e.cold.falls
}
