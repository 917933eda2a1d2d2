package suspicion

import (
	"cmp"
	"slices"
	"time"
)

// Statement is what an instance states of another one.
type Statement struct {
	// Instance is the name of the instance that is stated to be silent.
	Instance string `cbor:"1,keyasint"`
	// Heard is true if it has been heard since: the suspicion has ended.
	Heard bool `cbor:"2,keyasint,omitempty"`
}

// Report holds the statements of an instance.
type Report struct {
	// Observed is what the sender itself observes, for the leaders.
	Observed []Statement `cbor:"1,keyasint,omitempty"`
	// Decided is what the sender has decided as a leader, for all instances.
	Decided []Statement `cbor:"2,keyasint,omitempty"`
}

// statement is a received or own statement.
type statement struct {
	heard bool
	until time.Time
}

// statements maps the names of suspected instances and of those that state something of
// them to the latest statement.
type statements map[string]map[string]statement

func (s statements) merge(sender string, received []Statement, now time.Time) {
	for _, r := range received {
		s.set(r.Instance, sender, statement{heard: r.Heard, until: now.Add(lifetime)})
	}
}

func (s statements) set(instance, source string, value statement) {
	if s[instance] == nil {
		s[instance] = map[string]statement{}
	}
	s[instance][source] = value
}

// ownObservation returns what this instance observes of another one; false if that is
// nothing. Only those that watch it state that they hear it, since they also notice when
// that ends.
func (d *Detector) ownObservation(name string, now time.Time) (statement, bool) {
	w, s := d.watched[name], d.subjects[name]
	switch {
	case w == nil || s.since.IsZero():
		return statement{}, false
	case !w.suspectedAt.IsZero():
		return statement{}, true
	case w.heardAt.After(s.since) && now.Sub(w.heardAt) < silenceLimit:
		return statement{heard: true}, true
	}
	return statement{}, false
}

// decide updates the decisions of a leader.
func (d *Detector) decide(now time.Time, leads bool) {
	names := map[string]bool{}
	for name := range d.observed {
		names[name] = true
	}
	for name := range d.subjects {
		names[name] = true
	}
	for name := range names {
		before, decided := d.decided[name][d.name]
		if !leads {
			delete(d.decided[name], d.name)
			continue
		}
		silent, heard := d.count(name, now)
		switch suspected := silent >= d.needed(); {
		case suspected && !heard:
			d.addSubject(name, now)
			d.decided.set(name, d.name, statement{until: now.Add(lifetime)})
		case heard && decided && (suspected || !before.heard):
			d.addSubject(name, now)
			d.decided.set(name, d.name, statement{heard: true, until: now.Add(lifetime)})
		case decided && !before.heard:
			// The statements have expired, or the instance is watched no longer.
			delete(d.decided[name], d.name)
		}
	}
}

// count returns the number of instances that state that another one is silent, and whether
// one hears it.
func (d *Detector) count(name string, now time.Time) (silent int, heard bool) {
	heard = d.heardRecently(name, now)
	own, ok := d.ownObservation(name, now)
	for source, s := range d.observed[name] {
		if source == d.name || source == name {
			continue
		}
		if s.heard {
			heard = true
		} else {
			silent++
		}
	}
	if ok && !own.heard {
		silent++
	}
	return silent, heard
}

// needed returns the number of statements that a suspicion needs.
func (d *Detector) needed() int {
	if d.watchers == fewWatchers {
		return 1
	}
	return 2
}

func (d *Detector) heardRecently(name string, now time.Time) bool {
	at, ok := d.heard[name]
	return ok && now.Sub(at) < silenceLimit
}

// inForce reports whether an instance is suspected by decision of a leader, and no
// instance is known to hear it.
func (d *Detector) inForce(name string, now time.Time) bool {
	suspected := false
	for _, s := range d.decided[name] {
		if !now.Before(s.until) {
			continue
		}
		if s.heard {
			return false
		}
		suspected = true
	}
	return suspected && !d.heardRecently(name, now)
}

// Report returns what this instance states; nil if that is nothing.
func (d *Detector) Report() *Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := d.report(d.now())
	if len(report.Observed) == 0 && len(report.Decided) == 0 {
		return nil
	}
	return &report
}

func (d *Detector) report(now time.Time) Report {
	var report Report
	for name := range d.subjects {
		if own, ok := d.ownObservation(name, now); ok {
			report.Observed = append(report.Observed, Statement{Instance: name, Heard: own.heard})
		}
	}
	for name, by := range d.decided {
		if own, ok := by[d.name]; ok && now.Before(own.until) {
			report.Decided = append(report.Decided, Statement{Instance: name, Heard: own.heard})
		}
	}
	slices.SortFunc(report.Observed, compareStatements)
	slices.SortFunc(report.Decided, compareStatements)
	return report
}

func compareStatements(a, b Statement) int { return cmp.Compare(a.Instance, b.Instance) }

func equal(a, b *Report) bool {
	return slices.Equal(a.Observed, b.Observed) && slices.Equal(a.Decided, b.Decided)
}
