// Package suspicion decides which instances of a large fleet are suspected of failure,
// earlier than their membership ends. The instances that clients use watch each other and
// state which ones are silent; the leaders decide from these statements, and tell all
// instances. It sends nothing itself.
package suspicion

import (
	"slices"
	"sync"
	"time"
)

const (
	// Tick is the time between two calls of Detector.Tick while a Detector is active. It
	// adds to the time in which a failure is found.
	Tick = 50 * time.Millisecond
	// expected is the time without a datagram of a watched instance after which a reply is
	// requested, and requestPause the minimum time between two requests.
	expected     = 250 * time.Millisecond
	requestPause = 150 * time.Millisecond
	// firstRequestPause is the same until the first probe of an instance, which may be of a
	// build that sends none.
	firstRequestPause = time.Second
	// silenceLimit is the time without a datagram after which an instance is suspected, if
	// it has also left minRequests requests unanswered, the last one for replyTime. Two
	// lost datagrams, of which one may be a reply, don't suffice.
	silenceLimit = 600 * time.Millisecond
	minRequests  = 3
	replyTime    = Tick
	// lifetime is how long a statement counts. The scheduled datagrams to and from leaders
	// renew it every 800 ms, so one of them may be lost.
	lifetime = 2 * time.Second
	// repeatAfter is the time after which a change is announced once more: the loss of one
	// datagram must not keep a directory from learning of it.
	repeatAfter = 100 * time.Millisecond
	// maxTickGap is the time between two ticks above which this instance was itself
	// suspended or starved, so that it can't tell who was silent.
	maxTickGap = expected
	// fewWatchers is the number of instances that watch each other with which one statement
	// suffices. With more, two are needed: the link of one may be cut.
	fewWatchers = 2
)

// Change is the start or the end of a suspicion.
type Change struct {
	Instance string
	// InForce is true if the directory of this instance begins or ceases to omit the other
	// one, and false if this instance alone begins or ceases to suspect it.
	InForce bool
	// Suspected is true for the start.
	Suspected bool
}

// Round is the result of a tick.
type Round struct {
	// Requests holds the names of the instances to request a reply from.
	Requests []string
	// Announce is true if Report should be sent now.
	Announce bool
	Changes  []Change
}

// watch is what this instance observes of an instance that it watches.
type watch struct {
	heardAt, requestedAt time.Time
	// run is the run of the instance. Its silence counts only if this run has sent a probe:
	// earlier builds send none.
	run    string
	probes bool
	// requests is the number of requests since heardAt.
	requests    int
	suspectedAt time.Time // zero if it is not suspected
}

// subject is an instance of whose suspicion this instance knows.
type subject struct {
	// since is when it learned of it; datagrams that arrive later refute it.
	since, until time.Time
}

// Detector holds the suspicions that an instance knows of. It is safe for concurrent use.
type Detector struct {
	name string
	now  func() time.Time

	mu       sync.Mutex
	watched  map[string]*watch
	watchers int
	heard    map[string]time.Time
	subjects map[string]subject
	observed statements
	decided  statements
	tickedAt time.Time
	// announced is the report announced last, and repeatAt when to announce it once more.
	announced Report
	repeatAt  time.Time
	suspects  map[string]bool // as of the latest tick
	begun     int64
}

// New returns the detector of the instance with the given name. now is the clock of all its
// times.
func New(name string, now func() time.Time) *Detector {
	return &Detector{
		name: name, now: now, watched: map[string]*watch{}, heard: map[string]time.Time{}, subjects: map[string]subject{},
		observed: statements{}, decided: statements{}, suspects: map[string]bool{},
	}
}

// Watch sets the instances that this one watches, with their runs by name, and the number of
// instances that watch each other, with this one.
func (d *Detector) Watch(runs map[string]string, watchers int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers = watchers
	now := d.now()
	if len(d.watched) == 0 {
		d.tickedAt = now
	}
	before := d.watched
	d.watched = make(map[string]*watch, len(runs))
	for name, run := range runs {
		if known := before[name]; known != nil && known.run == run {
			d.watched[name] = known
		} else {
			d.watched[name] = &watch{heardAt: now, run: run}
		}
	}
}

// Heard notes that a datagram of an instance has arrived.
func (d *Detector) Heard(name string) { d.noteHeard(name, false) }

// HeardProbe notes that a probe of an instance has arrived.
func (d *Detector) HeardProbe(name string) { d.noteHeard(name, true) }

func (d *Detector) noteHeard(name string, probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.heard[name] = now
	if w := d.watched[name]; w != nil {
		w.heardAt, w.requests, w.probes = now, 0, w.probes || probe
	}
}

// Merge merges the report of another instance. It reports whether the next tick should
// not wait.
func (d *Detector) Merge(sender string, report *Report) bool {
	if report == nil || (len(report.Observed) == 0 && len(report.Decided) == 0) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.observed.merge(sender, report.Observed, now)
	d.decided.merge(sender, report.Decided, now)
	for _, s := range report.Decided {
		d.addSubject(s.Instance, now)
	}
	return true
}

// addSubject records that an instance is suspected now.
func (d *Detector) addSubject(instance string, now time.Time) {
	known, ok := d.subjects[instance]
	if !ok {
		known.since = now
	}
	known.until = now.Add(lifetime)
	d.subjects[instance] = known
}

// Active reports whether Tick must be called every Tick.
func (d *Detector) Active() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.watched) > 0 || len(d.observed) > 0 || len(d.decided) > 0
}

// Tick updates the suspicions. leads is true if this instance is a leader.
func (d *Detector) Tick(leads bool) Round {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.expire(now)
	round := Round{}
	d.observe(now, &round)
	d.decide(now, leads)
	report := d.report(now)
	switch {
	case !equal(&report, &d.announced):
		round.Announce, d.repeatAt = len(report.Observed)+len(report.Decided) > 0, now.Add(repeatAfter)
		d.announced = report
	case !d.repeatAt.IsZero() && !now.Before(d.repeatAt):
		round.Announce, d.repeatAt = len(report.Observed)+len(report.Decided) > 0, time.Time{}
	}
	d.noteChanges(now, &round)
	return round
}

// expire removes expired entries. After a suspension of this instance it removes all.
func (d *Detector) expire(now time.Time) {
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > maxTickGap && len(d.watched) > 0 {
		for _, w := range d.watched {
			*w = watch{heardAt: now, run: w.run, probes: w.probes}
		}
		clear(d.subjects)
		clear(d.observed)
		clear(d.decided)
	}
	d.tickedAt = now
	for _, s := range []statements{d.observed, d.decided} {
		for instance, by := range s {
			for source, value := range by {
				if !now.Before(value.until) {
					delete(by, source)
				}
			}
			if len(by) == 0 {
				delete(s, instance)
			}
		}
	}
	for name, s := range d.subjects {
		if !now.Before(s.until) {
			delete(d.subjects, name)
		}
	}
	for name, at := range d.heard {
		if now.Sub(at) >= lifetime {
			delete(d.heard, name)
		}
	}
}

// observe updates what this instance itself observes of those that it watches.
func (d *Detector) observe(now time.Time, round *Round) {
	for name, w := range d.watched {
		silence := now.Sub(w.heardAt)
		switch {
		case w.suspectedAt.IsZero() && w.probes && silence >= silenceLimit && w.requests >= minRequests && now.Sub(w.requestedAt) >= replyTime:
			w.suspectedAt = now
			d.begun++
			round.Changes = append(round.Changes, Change{Instance: name, Suspected: true})
		case !w.suspectedAt.IsZero() && w.heardAt.After(w.suspectedAt):
			w.suspectedAt = time.Time{}
			round.Changes = append(round.Changes, Change{Instance: name})
		}
		if !w.suspectedAt.IsZero() {
			d.addSubject(name, now)
		}
		pause := requestPause
		if !w.probes {
			pause = firstRequestPause
		}
		if silence >= expected && now.Sub(w.requestedAt) >= pause {
			w.requestedAt = now
			w.requests++
			round.Requests = append(round.Requests, name)
		}
	}
	slices.Sort(round.Requests)
}

func (d *Detector) noteChanges(now time.Time, round *Round) {
	for name := range d.decided {
		if !d.suspects[name] && d.inForce(name, now) {
			d.suspects[name] = true
			round.Changes = append(round.Changes, Change{Instance: name, InForce: true, Suspected: true})
		}
	}
	for name := range d.suspects {
		if !d.inForce(name, now) {
			delete(d.suspects, name)
			round.Changes = append(round.Changes, Change{Instance: name, InForce: true})
		}
	}
}

// Suspected returns the sorted names of the suspected instances.
func (d *Detector) Suspected() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var names []string
	for name := range d.decided {
		if d.inForce(name, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Begun returns how often this instance itself has begun to suspect another one.
func (d *Detector) Begun() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.begun
}
