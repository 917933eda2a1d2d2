package workload

import (
	"sync/atomic"
	"time"

	"medlarslip/internal/boottime"
)

const (
	// byCostLife is how long an instance chooses the servers of a service by expected cost after
	// the last report of their slowness, and how long an instance of a large fleet exchanges what
	// it learns after the last moment at which another one is known to have chosen so.
	byCostLife = 30 * time.Second
	// byCostPeriod is the time between two reports to the same instance that state only that.
	// In each datagram two bytes would add 1.3 KB/s to a leader of 300 instances. Ages reach
	// some 16 s by way of a leader, so two lost datagrams in a row do not end the state.
	byCostPeriod = 6 * time.Second
)

// peersByCost is the state that peers choose servers by expected cost. It is renewed only by an
// instance that does so on its own account: what is passed on keeps its age, so that instances do
// not keep each other in it.
type peersByCost struct {
	// at is the latest known moment at which a peer did, as a boottime.Instant; 0 for none.
	at atomic.Int64
}

// observe records a report whose age is at most age, at a moment.
func (p *peersByCost) observe(report *Report, age time.Duration, now boottime.Instant) {
	const lifeSeconds = int(byCostLife / time.Second)
	if age <= 0 || age >= byCostLife || report.ByCostAge < 0 || report.ByCostAge >= lifeSeconds {
		return
	}
	at := int64(now) - int64(age) - int64(report.ByCostAge)*int64(time.Second)
	for {
		known := p.at.Load()
		if (known != 0 && at <= known) || p.at.CompareAndSwap(known, at) {
			return
		}
	}
}

// age returns the age of the state; false if there is none.
func (p *peersByCost) age(now boottime.Instant) (time.Duration, bool) {
	at := p.at.Load()
	age := now.Since(boottime.Instant(at))
	return age, at != 0 && age < byCostLife
}

// Active reports whether what is learned is exchanged: this instance chooses servers by expected
// cost on its own account or, in a large fleet, another one is known to have done so recently.
func (x *Exchange) Active() bool {
	_, active := x.byCostAge()
	return active
}

// byCostAge returns Report.ByCostAge of the next report; false if what is learned is not exchanged.
func (x *Exchange) byCostAge() (seconds int, active bool) {
	if x.opts.ByCost() {
		return 0, true
	}
	age, known := x.peersByCost.age(x.opts.Clock())
	if !known || !x.opts.Large() {
		return 0, false
	}
	return max(int((age+time.Second-1)/time.Second), 1), true
}
