package fleetlimit

import (
	"io"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

// clock is a clock that a test sets.
type clock struct{ now boottime.Instant }

func (c *clock) read() boottime.Instant { return c.now }

func (c *clock) set(after time.Duration) { c.now = boottime.Instant(after) }

func quietLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func stated(perSecond float64) Limit { return Limit{Stated: true, PerSecond: perSecond} }

// TestOrderOfStatements: a later statement replaces an earlier one. Answers can
// overtake each other, so of two that may be in either order the stricter one holds.
func TestOrderOfStatements(t *testing.T) {
	at := func(limit Limit, from, to int) statement {
		return statement{limit: limit, from: boottime.Instant(from), to: boottime.Instant(to)}
	}
	for name, c := range map[string]struct {
		first, second statement
		want          Limit
	}{
		"raised":                     {at(stated(2), 10, 20), at(stated(5), 21, 30), stated(5)},
		"lowered":                    {at(stated(5), 10, 20), at(stated(2), 21, 30), stated(2)},
		"ended":                      {at(stated(5), 10, 20), at(Limit{}, 21, 30), Limit{}},
		"earlier":                    {at(stated(5), 10, 20), at(stated(2), 5, 9), stated(5)},
		"earlier and without limit":  {at(stated(5), 10, 20), at(Limit{}, 5, 9), stated(5)},
		"unordered and higher":       {at(stated(2), 10, 20), at(stated(5), 15, 30), stated(2)},
		"unordered and lower":        {at(stated(5), 10, 20), at(stated(2), 5, 15), stated(2)},
		"unordered, no limit":        {at(stated(5), 10, 20), at(Limit{}, 15, 30), stated(5)},
		"named after the end":        {at(Limit{}, 10, 20), at(stated(5), 21, 30), stated(5)},
		"unordered with the end":     {at(Limit{}, 10, 20), at(stated(5), 15, 30), stated(5)},
		"certainly before the end":   {at(Limit{}, 10, 20), at(stated(5), 1, 9), Limit{}},
		"zero is the strictest":      {at(stated(5), 10, 20), at(stated(0), 15, 18), stated(0)},
		"higher, of unknown origin":  {at(stated(2), 10, 20), at(stated(5), 0, 30), stated(2)},
		"stricter, of unknown begin": {at(stated(5), 10, 20), at(stated(2), 0, 30), stated(2)},
	} {
		current := c.first
		if c.second.replaces(&current) {
			current = c.second
		}
		must.Eq(t, c.want, current.limit, must.Sprint(name))
	}
}

// TestReportThatWasDelayedIsNotRecent: a report that lay in the buffer of a suspended
// machine must not end a limit that was stated in the meantime.
func TestReportThatWasDelayedIsNotRecent(t *testing.T) {
	c := &clock{}
	l := New(Options{Now: c.read, Log: quietLog()})
	c.set(20 * time.Second)
	l.Observe("s", stated(3), boottime.Instant(19*time.Second))
	ended := []Report{{Server: "s", OldestAge: 200 * time.Millisecond, NewestAge: 100 * time.Millisecond}}
	l.Merge(ended, boottime.Instant(10*time.Second))
	must.True(t, l.Limited("s"), must.Sprint("sent after second 10, and perhaps before second 19"))
	l.Merge(ended, 0)
	must.True(t, l.Limited("s"), must.Sprint("nothing is known of when it was sent"))
	c.set(21 * time.Second)
	l.Merge(ended, boottime.Instant(20900*time.Millisecond))
	must.False(t, l.Limited("s"))
}

// TestReportsReachOtherInstances: an instance learns the limit of a server, its change
// and its end from another instance alone.
func TestReportsReachOtherInstances(t *testing.T) {
	c := &clock{}
	changes := 0
	told := New(Options{Now: c.read, Log: quietLog()})
	other := New(Options{Now: c.read, Log: quietLog()})
	other.opts.Changed = func() { changes++ }
	for i, limit := range []Limit{stated(3), stated(6), stated(0.2), {}} {
		c.set(time.Duration(10*(i+1)) * time.Second)
		told.Observe("s", limit, c.now-boottime.Instant(time.Second))
		sent := c.now
		c.now += boottime.Instant(time.Millisecond)
		other.Merge(told.Reports(), sent)
		must.Eq(t, i+1, changes)
		must.Eq(t, limit.Stated, other.Limited("s"))
	}
	must.Zero(t, other.LimitedServers())
}

// TestInvalidReportsAreIgnored: what another instance can't have measured is not used.
func TestInvalidReportsAreIgnored(t *testing.T) {
	c := &clock{now: boottime.Instant(time.Hour)}
	l := New(Options{Now: c.read, Log: quietLog()})
	l.Merge([]Report{
		{Limited: true, PerSecond: 1},
		{Server: "a", Limited: true, PerSecond: -1},
		{Server: "b", Limited: true, PerSecond: math.NaN()},
		{Server: "c", Limited: true, PerSecond: math.Inf(1)},
		{Server: "d", Limited: true, PerSecond: 1, NewestAge: -1},
		{Server: "e", Limited: true, PerSecond: 1, OldestAge: 1, NewestAge: 2},
	}, c.now)
	must.Zero(t, l.LimitedServers())
}

// TestReportsAreBounded: a message has a bounded size however many servers state a
// limit, and every server gets its turn.
func TestReportsAreBounded(t *testing.T) {
	const servers = 600
	c := &clock{now: boottime.Instant(time.Hour)}
	l := New(Options{Now: c.read, Log: quietLog()})
	for i := range servers {
		l.Observe(string(rune('a'+i%26))+time.Duration(i).String(), stated(1), c.now-1)
		c.now++
	}
	seen := map[string]bool{}
	for range 2 * servers / maxReports * 2 {
		reports := l.Reports()
		must.LessEq(t, maxReports, len(reports))
		for _, r := range reports {
			seen[r.Server] = true
		}
	}
	must.MapLen(t, servers, seen)
}

// TestStatementsExpire: servers that are gone are forgotten.
func TestStatementsExpire(t *testing.T) {
	c := &clock{now: boottime.Instant(time.Hour)}
	l := New(Options{Now: c.read, Log: quietLog()})
	l.Observe("gone", stated(1), c.now-1)
	l.Observe("ended", stated(1), c.now-1)
	c.now += boottime.Instant(time.Second)
	l.Observe("ended", Limit{}, c.now-1)
	must.Len(t, 2, l.Reports())
	c.now += boottime.Instant(statementLifetime)
	must.Len(t, 0, l.Reports())
	must.Zero(t, l.LimitedServers())
	must.Zero(t, l.known.Load())
}
