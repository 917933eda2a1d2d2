package brittle

import (
	"math/rand/v2"
	"time"
)

const (
	// sameTime is the difference up to which two reports are about the same time at which a
	// server turned requests away: they age in transit.
	sameTime = 150 * time.Millisecond
	// againTime is the time within which a server that turns requests away again has less
	// room than before.
	againTime = time.Second
	// reportedTime is how long that is reported: some datagrams.
	reportedTime = 2 * time.Second
	// maxReported bounds the servers in one report.
	maxReported = 64
	// maxStatements bounds the services in one report.
	maxStatements = 16
)

// Report is the report of an instance to its peers on a server that turned a request away.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Server  string
	Age     time.Duration
}

// Statement is the statement of an instance to its peers on a service whose servers are brittle. An
// instance that has sent the service no request would otherwise learn that from its first answers only.
type Statement struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Limit is the number of requests that each server can turn away in a second.
	Limit float64
	// Age is the time since a server last stated that.
	Age time.Duration
}

// Reports returns the servers that turned requests away recently, as far as is known. There are
// none in a large fleet, where they would reach the others too late.
func (g *Gate) Reports() []Report {
	if g.opts.Large() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var reports []Report
	for name, s := range g.services {
		for id, r := range s.servers {
			if age := now.Sub(r.turnedAwayAt); age < reportedTime && len(reports) < maxReported {
				reports = append(reports, Report{Service: name, Server: id, Age: age})
			}
		}
	}
	return reports
}

// Statements returns the services that are brittle, as far as is known.
func (g *Gate) Statements() []Statement {
	if !g.Active() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var statements []Statement
	for name, s := range g.services {
		if age := now.Sub(s.statedAt); age < statedTime && len(statements) < maxStatements {
			statements = append(statements, Statement{Service: name, Limit: s.limit, Age: age})
		}
	}
	return statements
}

// MergeStatements applies the statements of a peer.
func (g *Gate) MergeStatements(statements []Statement) {
	for i := range statements {
		said := &statements[i]
		said.Age = max(said.Age, 0)
		if said.Limit < 0 || said.Age >= statedTime {
			continue
		}
		if !g.update(said.Service, said.Limit, time.Now().Add(-said.Age)) {
			g.add(said, "")
		}
	}
}

// Merge applies the reports of a peer. A server that turned a request of a peer away has no
// room for more than is in progress. If it does so again soon, it has room for less. In a large
// fleet only the previous build reports that, too late to be of use.
func (g *Gate) Merge(reports []Report) {
	if !g.Active() || g.opts.Large() {
		return
	}
	for i := range reports {
		report := &reports[i]
		inProgress := g.opts.InProgress(report.Server)
		g.withRoom(&Server{Service: report.Service, ID: report.Server}, func(s *service, r *room, now time.Time) {
			at := now.Add(-max(report.Age, 0))
			if at.Sub(r.turnedAwayAt) < sameTime {
				return
			}
			again := at.Sub(r.turnedAwayAt) < againTime
			r.turnedAwayAt = at
			r.most = min(r.most, inProgress)
			if again {
				r.most = max(r.most-1, 0)
			}
			r.trialAt = now.Add(time.Duration((1 + rand.Float64()) * float64(g.interval(s, r))))
		})
	}
}
