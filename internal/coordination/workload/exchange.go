package workload

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/decay"
)

const (
	// reportPeriod is the time between two reports to the same instance. Speeds are learned
	// over 30 s.
	reportPeriod = 2 * time.Second
	// reportRate is the number of bytes a second that all reports of an instance take,
	// and minRecords the number of statements of a report of the largest fleets.
	reportRate = 4000
	minRecords = 4
	// maxOwnRecords and maxFleetRecords bound the size of a report: 1 KB and 2 KB.
	maxOwnRecords   = 98
	maxFleetRecords = 200
	// lengthShare is one divided by the share of the statements that are about lengths.
	lengthShare = 6
	// maxReportAge is the age from which a report is ignored: it may have stayed in the
	// buffer of a suspended machine.
	maxReportAge = 5 * time.Second
)

// ExchangeOptions configures an Exchange. All fields are required.
type ExchangeOptions struct {
	Servers    *backends.Table
	Estimators *Estimators
	Now        func() time.Time
	// Clock includes the time during which the machine was suspended.
	Clock func() boottime.Instant
	// ByCost reports whether this instance chooses servers by expected cost on its own account:
	// by its settings, or by the reports of servers that it has received itself.
	ByCost func() bool
	// Large reports whether the members of the fleet report to leaders, and Leads whether this
	// instance is one.
	Large, Leads func() bool
	// Instances returns the number of instances in the fleet.
	Instances func() int
}

// Exchange sends other instances what this one has learned, and merges what they state. In a
// large fleet members report to the leaders, which reply with the sums over the fleet. It is
// safe for concurrent use.
type Exchange struct {
	opts ExchangeOptions
	mu   sync.Mutex
	// sentAt is when each instance was last sent a report.
	sentAt map[string]time.Time
	// own and fleet are the latest reports of either kind, which all receivers get.
	own, fleet  batch
	peersByCost peersByCost
	// speeds and lengths count the statements.
	speeds, lengths exchangeCounts
}

// exchangeCounts counts statements of one kind, once for each receiver or sender.
type exchangeCounts struct{ sent, received, tooOld atomic.Uint64 }

// ExchangeCounts holds the numbers of statements that were sent, merged, and rejected because
// their report was too old.
type ExchangeCounts struct{ Sent, Received, TooOld uint64 }

// Counts returns the numbers of statements about the speeds of servers and the lengths of answers.
func (x *Exchange) Counts() (speeds, lengths ExchangeCounts) {
	return x.speeds.load(), x.lengths.load()
}

func (c *exchangeCounts) load() ExchangeCounts {
	return ExchangeCounts{Sent: c.sent.Load(), Received: c.received.Load(), TooOld: c.tooOld.Load()}
}

type batch struct {
	builtAt time.Time
	report  *Report
}

// NewExchange returns an exchange that has sent nothing.
func NewExchange(opts ExchangeOptions) *Exchange {
	return &Exchange{opts: opts, sentAt: map[string]time.Time{}}
}

// Report returns the report for the next datagram to an instance; nil if it needs none.
func (x *Exchange) Report(receiver string, receiverLeads bool) *Report {
	age, active := x.byCostAge()
	if !active {
		return nil
	}
	large, leads := x.opts.Large(), x.opts.Leads()
	fleet := large && !receiverLeads
	if fleet && !leads {
		return nil
	}
	// Leaders pass on that servers are chosen by expected cost, and others state it of themselves.
	statesByCost := large && (leads || age == 0)
	now := x.opts.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	sentAt, sent := x.sentAt[receiver]
	if sent && now.Sub(sentAt) < reportPeriod {
		return nil
	}
	current := &x.own
	if fleet {
		current = &x.fleet
	}
	if current.report == nil || now.Sub(current.builtAt) >= reportPeriod {
		current.builtAt = now
		x.mu.Unlock()
		report := x.build(fleet, now)
		x.mu.Lock()
		current.report = report
		x.expireReceivers(now)
	}
	report := *current.report
	report.ByCostAge = age
	if len(report.Speeds)+len(report.Lengths) == 0 && (!statesByCost || (sent && now.Sub(sentAt) < byCostPeriod)) {
		return nil
	}
	x.sentAt[receiver] = now
	x.speeds.sent.Add(statements(report.Speeds))
	x.lengths.sent.Add(statements(report.Lengths))
	return &report
}

// expireReceivers removes the instances that were sent nothing recently.
func (x *Exchange) expireReceivers(now time.Time) {
	for name, at := range x.sentAt {
		if now.Sub(at) >= byCostPeriod {
			delete(x.sentAt, name)
		}
	}
}

// limit returns the number of statements of a report.
func (x *Exchange) limit(fleet bool) int {
	most := maxOwnRecords
	if fleet {
		most = maxFleetRecords
	}
	perReport := reportRate * int(reportPeriod.Seconds()) / recordSize / max(x.opts.Instances()-1, 1)
	return min(max(perReport, minRecords), most)
}

// candidate is a statement that may be sent.
type candidate struct {
	value float64
	record
	backend *backends.Backend
}

// build returns a report of the most valuable statements, and records them as sent.
func (x *Exchange) build(fleet bool, now time.Time) *Report {
	limit := x.limit(fleet)
	lengths := mostValuable(x.lengthCandidates(fleet, now), max(limit/lengthShare, 1))
	speeds := mostValuable(x.speedCandidates(fleet, now), limit-len(lengths))
	report := &Report{Fleet: fleet}
	for i := range speeds {
		c := &speeds[i]
		c.backend.UpdateStatements(c.tag, now, speedHalfLife, func(s *decay.Statements, _ decay.Mean, _ uint16) {
			recordSent(s, fleet, c.moments(now, 0), now)
		})
		report.Speeds = c.append(report.Speeds)
	}
	for i := range lengths {
		c := &lengths[i]
		x.opts.Estimators.updateLength(c.key, decay.Moments{}, func(s *decay.Statements, _ decay.Moments) {
			recordSent(s, fleet, c.moments(now, float64(c.tag)*varianceUnit), now)
		})
		report.Lengths = c.append(report.Lengths)
	}
	return report
}

func recordSent(s *decay.Statements, fleet bool, m decay.Moments, now time.Time) {
	if fleet {
		s.Fleet = decay.Sent{Moments: m, At: now}
		return
	}
	s.Own = decay.Sent{Moments: m, At: now}
}

func mostValuable(all []candidate, limit int) []candidate {
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.value, a.value), cmp.Compare(a.key, b.key)) })
	return all[:min(len(all), limit)]
}

func (x *Exchange) speedCandidates(fleet bool, now time.Time) []candidate {
	var all []candidate
	for _, backend := range x.opts.Servers.All() {
		server := backend.Snapshot().Server
		backend.UpdateStatements(0, now, speedHalfLife, func(s *decay.Statements, own decay.Mean, run uint16) {
			m, sent := statedMoments(s, fleet, own.Moments(now, speedHalfLife), now, speedHalfLife)
			if value := valueOf(m, sent, now, speedHalfLife); value > 0 {
				all = append(all, candidate{value: value, record: newRecord(server.RunKey(), run, m), backend: backend})
			}
		})
	}
	return all
}

func (x *Exchange) lengthCandidates(fleet bool, now time.Time) []candidate {
	var all []candidate
	e := x.opts.Estimators
	own := e.ownLengths()
	for _, id := range e.statedLengths(own) {
		e.updateLength(id, own[id].At(now, lengthHalfLife), func(s *decay.Statements, own decay.Moments) {
			m, sent := statedMoments(s, fleet, own, now, lengthHalfLife)
			if value := valueOf(m, sent, now, lengthHalfLife); value > 0 {
				all = append(all, candidate{value: value, record: newRecord(id, varianceTag(m), m)})
			}
		})
	}
	return all
}

// statedMoments returns what to state, and what was last sent of that kind.
func statedMoments(s *decay.Statements, fleet bool, own decay.Moments, now time.Time, halfLife time.Duration) (decay.Moments, decay.Sent) {
	if fleet {
		return own.Plus(s.Total(now, halfLife)), s.Fleet
	}
	return own, s.Own
}

// Merge merges the report of an instance. age is an upper bound of its age; 0 if unknown.
func (x *Exchange) Merge(peer string, report *Report, age time.Duration) {
	if report == nil || age <= 0 || len(report.Speeds)+len(report.Lengths) > maxFleetRecords*recordSize {
		return
	}
	x.peersByCost.observe(report, age, x.opts.Clock())
	if !x.Active() {
		return
	}
	// Members of a large fleet get the statements of all others from the leaders, once each.
	if report.Fleet != (x.opts.Large() && !x.opts.Leads()) {
		return
	}
	if age > maxReportAge {
		x.speeds.tooOld.Add(statements(report.Speeds))
		x.lengths.tooOld.Add(statements(report.Lengths))
		return
	}
	x.speeds.received.Add(statements(report.Speeds))
	x.lengths.received.Add(statements(report.Lengths))
	now := x.opts.Now()
	take := func(s *decay.Statements, m decay.Moments, halfLife time.Duration) {
		if report.Fleet {
			s.SetFleet(m, now, halfLife)
			return
		}
		s.Set(peer, m, now, halfLife)
	}
	for _, r := range records(report.Speeds) {
		if backend := x.opts.Servers.ByRunKey(r.key); backend != nil {
			backend.UpdateStatements(r.tag, now, speedHalfLife, func(s *decay.Statements, _ decay.Mean, _ uint16) {
				take(s, r.moments(now, 0), speedHalfLife)
			})
		}
	}
	for _, r := range records(report.Lengths) {
		x.opts.Estimators.updateLength(r.key, decay.Moments{}, func(s *decay.Statements, _ decay.Moments) {
			take(s, r.moments(now, float64(r.tag)*varianceUnit), lengthHalfLife)
		})
	}
}
