package admission

import (
	"math"
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// reportHalfLife is the age at which a report of a server has half of its weight
	// compared with the mean over the service.
	reportHalfLife = 2 * time.Second
	// MaxReportAge is the age up to which a report counts in the mean over the service; an older one does not
	// describe the queue.
	MaxReportAge = 3 * time.Second
	// unreportedShare is the share of its slots up to which a server that has sent no report
	// is filled. Such a server has just started or is new to this instance, and its first
	// answer brings a report.
	unreportedShare = 0.5
	// maxSharing bounds the number of instances that are taken to act on similar reports: with
	// more of them, each has so few requests that it overestimates the others.
	maxSharing = 9
	// idleShare is the share of the slots of a service below which no request is refused.
	idleShare = 0.5
	// minRetryAfter is the shortest time for which a client is asked to wait.
	minRetryAfter = 150 * time.Millisecond
	// MaxRetryAfter is the longest one, so that clients notice a recovered service.
	MaxRetryAfter = 5 * time.Second
)

// Usage describes how far the slots of a service are taken.
type Usage struct {
	// Slots is the mean number of slots of a server; 0 if no server reported them recently.
	Slots float64
	// Taken is the number of requests at a server per slot; it exceeds 1 where requests
	// queue.
	Taken float64
	// Sharing is the number of instances that send requests to the servers, as far as is known;
	// 0 counts as 1.
	Sharing float64
	// Alone is true if no other instance sends requests to the servers, as far as is known.
	Alone bool
	// Woken is true for a request that waited. A report that wakes it wakes requests at the
	// other instances too.
	Woken bool
	// Least is a lower bound of the requests per slot at the server of the lowest load.
	Least float64
	// Servers is the number of servers that may report, and Hold the mean time of a run.
	Servers int
	Hold    time.Duration
}

// UsageOf returns the usage of the servers by their recent reports. alone is true if no other
// instance is known that sends requests to them.
func UsageOf(servers backends.List, alone bool, now time.Time) Usage {
	slots, taken, hold, reports, least := 0.0, 0.0, time.Duration(0), 0, math.Inf(1)
	for i := range servers {
		server := servers.Snapshot(i)
		if !server.Server.Leaving {
			least = min(least, server.ReportedPerSlot(alone))
		}
		if server.Server.Leaving || server.Load.Slots <= 0 || now.Sub(server.Load.ReadAt) > MaxReportAge {
			continue
		}
		slots += float64(server.Load.Slots)
		taken += server.Reported(1, alone)
		hold += server.Latency
		reports++
	}
	if reports == 0 {
		return Usage{}
	}
	return Usage{Alone: alone, Slots: slots / float64(reports), Taken: taken / slots, Least: min(least, taken/slots), Servers: len(servers), Hold: hold / time.Duration(reports)}
}

// Full reports whether no server has room for a request of the rank.
func (u Usage) Full(rank int) bool { return u.Least >= Room(rank, 1) }

// LoadOf estimates the number of requests at a server, and its slots. As its report ages,
// the estimate moves towards the mean over the service.
func (u Usage) LoadOf(server *backends.Snapshot, now time.Time) (load, slots float64) {
	own := float64(server.InFlight)
	if server.Load.Slots <= 0 || server.Load.ReadAt.IsZero() {
		return own / unreportedShare, u.Slots
	}
	slots = float64(server.Load.Slots)
	m := backends.LoadModel{HalfLife: reportHalfLife, WaitingWeight: 1, Senders: u.sendersPerRun(), Fallback: max(u.Taken*slots, own), Alone: u.Alone}
	return server.EstimateLoad(&m, now), slots
}

// sendersPerRun returns how many instances are taken to begin a run for each one that this instance
// begins.
func (u Usage) sendersPerRun() float64 {
	sharing := max(u.Sharing, 1)
	if u.Woken {
		return sharing
	}
	return math.Sqrt(min(sharing, maxSharing))
}

// WithWaiting returns the usage with requests that wait at instances. ownPart is the part of the
// requests of the service that this instance receives.
func (u Usage) WithWaiting(waiting int, ownPart float64) Usage {
	if waiting > 0 && u.Servers > 0 {
		u.Taken += float64(waiting) / max(ownPart, 0.01) / (u.Slots * float64(u.Servers))
	}
	return u
}

// Idle reports whether less than half of the slots of the service are taken, and nothing waits.
// No request is refused for lack of capacity then.
func (u Usage) Idle(waiting int) bool { return u.Taken < idleShare && waiting == 0 }

// RetryAfter returns the wait for a refused request: the time in which the requests ahead are
// expected to end, varied by random, 0 to 1, so that those refused together do not retry
// together.
func (u Usage) RetryAfter(random float64) time.Duration {
	expected := min(max(time.Duration(u.Taken*float64(u.Hold)), minRetryAfter), MaxRetryAfter)
	return time.Duration((0.5 + random) * float64(expected)).Round(time.Millisecond)
}
