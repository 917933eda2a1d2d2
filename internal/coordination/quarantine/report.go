package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarslip/internal/boottime"
)

const (
	// maxReported bounds the suspects, the keys under quarantine and the sound keys of
	// each kind in one report, and maxReportedEnds the servers of a suspect.
	maxReported     = 16
	maxReportedEnds = 16
	// refutedTime is how long peers are told that a suspect of theirs was answered: some
	// datagrams.
	refutedTime = 5 * time.Second
	// newsTime is how long the end of a server is reported, and a request under which a
	// single server has ended: some datagrams.
	newsTime = 3 * time.Second
	// maxReportedServers bounds the servers that have ended in one report.
	maxReportedServers = 32
	// sinceTolerance is the difference up to which two instances agree on the beginning
	// of a quarantine. Ages grow in transit, so that without it a quarantine would be
	// renewed forever.
	sinceTolerance = time.Second
)

// Report is what an instance tells its peers.
type Report struct {
	// Suspects, Blocked and Answered are about prompt parts.
	Suspects []SuspectReport `cbor:"1,keyasint,omitempty"`
	Blocked  []BlockedReport `cbor:"2,keyasint,omitempty"`
	// Answered lists suspects of peers that were answered completely.
	Answered []Key `cbor:"3,keyasint,omitempty"`
	// Requests is the same about whole requests; nil if there is nothing.
	Requests *Report `cbor:"4,keyasint,omitempty"`
	// Servers lists the servers that have ended recently.
	Servers []ServerReport `cbor:"5,keyasint,omitempty"`
	// None is true if the sender knows the stored quarantines and nothing is under
	// quarantine. It is false in reports of the previous build.
	None bool `cbor:"6,keyasint,omitempty"`
}

// SuspectReport is the evidence about a key.
type SuspectReport struct {
	Key  Key         `cbor:"1,keyasint"`
	Ends []EndReport `cbor:"2,keyasint"`
}

// EndReport is the end of a server while a request was in progress there. Both are
// hashes of their IDs.
type EndReport struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Request uint32
	Age     time.Duration
}

// BlockedReport is a key under quarantine.
type BlockedReport struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	Age time.Duration
}

// ServerReport is the end of a server, named by the hash of its ID.
type ServerReport struct {
	_      struct{} `cbor:",toarray"`
	Server uint32
	Age    time.Duration
}

// Report returns what peers should know; nil if that is nothing. It includes what this
// instance knows from others, so that the leaders of a large fleet pass it on.
func (d *Detector) Report() *Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Now()
	report, requests, servers := d.parts.report(now), d.requests.report(now), d.serverReports(now)
	if requests == nil && len(servers) == 0 {
		return report
	}
	if report == nil {
		report = &Report{}
	}
	report.Requests, report.Servers = requests, servers
	return report
}

// AddNone returns a report with None set if that is known, or else the report as it is.
func (d *Detector) AddNone(report *Report) *Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.storedKnown.Load() || len(d.parts.blocked) > 0 || len(d.requests.blocked) > 0 {
		return report
	}
	if report == nil {
		report = &Report{}
	}
	report.None = true
	return report
}

// serverReports returns the servers that have ended recently, the latest first.
func (d *Detector) serverReports(now boottime.Instant) []ServerReport {
	var reports []ServerReport
	for server, at := range d.ends {
		if age := now.Since(at); age < newsTime {
			reports = append(reports, ServerReport{Server: server, Age: age})
		}
	}
	slices.SortFunc(reports, func(a, b ServerReport) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server)) })
	return reports[:min(len(reports), maxReportedServers)]
}

// report returns what peers should know about the keys of a kind; nil if that is nothing.
func (t *tracker) report(now boottime.Instant) *Report {
	maps.DeleteFunc(t.refuted, func(_ Key, at boottime.Instant) bool { return now.Since(at) >= refutedTime })
	report := &Report{Suspects: t.suspectReports(now), Blocked: t.blockedReports(now)}
	for key := range t.refuted {
		if len(report.Answered) < maxReported {
			report.Answered = append(report.Answered, key)
		}
	}
	if len(report.Suspects) == 0 && len(report.Blocked) == 0 && len(report.Answered) == 0 {
		return nil
	}
	return report
}

// blockedReports returns the latest quarantines.
func (t *tracker) blockedReports(now boottime.Instant) []BlockedReport {
	reports := make([]BlockedReport, 0, len(t.blocked))
	for key, e := range t.blocked {
		reports = append(reports, BlockedReport{Key: key, Age: now.Since(e.since)})
	}
	slices.SortFunc(reports, func(a, b BlockedReport) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	return reports[:min(len(reports), maxReported)]
}

// suspectReports returns the suspects with the most evidence. Many requests are in
// progress at a server that ends, and most are answered soon, so one under which a single
// server has ended is reported only while that is new. What a request under quarantine
// explains is reported as long.
func (t *tracker) suspectReports(now boottime.Instant) []SuspectReport {
	list := t.candidates(func(key Key, s *suspect) bool {
		isNews := t.kind == WholeRequest && now.Since(s.latest) < newsTime
		return isNews || (t.blocked[key] == nil && (t.kind == PromptPart || len(s.ends) > 1))
	})
	var reports []SuspectReport
	for _, c := range list[:min(len(list), maxReported)] {
		reports = append(reports, SuspectReport{Key: c.key, Ends: c.suspect.report(now)})
	}
	return reports
}

// report returns the latest ends.
func (s *suspect) report(now boottime.Instant) []EndReport {
	reports := make([]EndReport, 0, len(s.ends))
	for server, end := range s.ends {
		reports = append(reports, EndReport{Server: server, Request: end.request, Age: now.Since(end.at)})
	}
	slices.SortFunc(reports, func(a, b EndReport) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server)) })
	return reports[:min(len(reports), maxReportedEnds)]
}

// Merge applies the report of a peer.
func (d *Detector) Merge(report *Report) {
	if report == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if report.None {
		d.storedKnown.Store(true)
	}
	now := d.opts.Now()
	for _, server := range report.Servers {
		if age := max(server.Age, 0); age < evidenceTime {
			d.addServerEnd(server.Server, now-boottime.Instant(age))
		}
	}
	news := d.requests.merge(report.Requests, now, func(uint32) bool { return false })
	news = d.parts.merge(report, now, d.requests.explained) || news
	if news {
		d.decide(now)
	}
}

// merge applies what a peer reports about the keys of a kind, but for ends that are
// explained. It reports whether there is new evidence.
func (t *tracker) merge(report *Report, now boottime.Instant, explained func(server uint32) bool) (news bool) {
	if report == nil {
		return false
	}
	for _, key := range report.Answered {
		t.clear(key, now)
	}
	for _, blocked := range report.Blocked {
		t.mergeBlocked(blocked.Key, now-boottime.Instant(max(blocked.Age, 0)), now)
	}
	for _, suspect := range report.Suspects {
		news = t.mergeSuspect(&suspect, now, explained) || news
	}
	return news
}

func (t *tracker) mergeBlocked(key Key, since, now boottime.Instant) {
	if t.isAnswered(key, now) {
		t.refuted[key] = now
		return
	}
	known := t.blocked[key]
	if known != nil && since.Since(known.since) < sinceTolerance {
		return
	}
	if t.kind == WholeRequest && now.Since(since) >= requestLifetime {
		return
	}
	t.block(key, since)
	if known == nil {
		t.opts.Log.WithField("event", t.kind.String()+"_quarantined").WithField(t.kind.String(), key.String()).Warn("a peer reports what servers end under; requests with it are refused")
		t.opts.Changed()
	}
}

func (t *tracker) mergeSuspect(report *SuspectReport, now boottime.Instant, explained func(server uint32) bool) (news bool) {
	if t.isAnswered(report.Key, now) {
		t.refuted[report.Key] = now
		return false
	}
	for _, end := range report.Ends {
		if age := max(end.Age, 0); age < evidenceTime && !explained(end.Server) {
			news = t.addEnd(end.Server, report.Key, ended{request: end.Request, at: now - boottime.Instant(age)}) || news
		}
	}
	return news
}
