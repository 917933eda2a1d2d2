package routing_test

import (
	"fmt"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/peers"
	"medlarslip/internal/coordination/workload"
)

// exchangeInterval is the time between two datagrams of a pair of instances, and largeFleet the
// number of instances from which only pairs that include a leader exchange them.
const (
	exchangeInterval = 800 * time.Millisecond
	largeFleet       = 21
)

func (s *simulation) joinExchange(index int) {
	in := s.instances[index]
	in.exchange = workload.NewExchange(workload.ExchangeOptions{
		Servers: in.table, Estimators: &in.learned, Now: s.clock, ByCost: func() bool { return s.byCost },
		Clock: func() boottime.Instant { return boottime.Instant(time.Hour + s.now) },
		Large: func() bool { return s.load.instances > largeFleet }, Leads: func() bool { return index < peers.Leaders },
		Instances: func() int { return s.load.instances },
	})
}

// exchangeLearned exchanges what the instances learned, as the datagrams of peers do.
func (s *simulation) exchangeLearned() {
	if s.now%exchangeInterval != 0 {
		return
	}
	for i, from := range s.instances {
		for j, to := range s.instances {
			if i == j || (s.load.instances > largeFleet && i >= peers.Leaders && j >= peers.Leaders) {
				continue
			}
			report := from.exchange.Report(fmt.Sprint(j), j < peers.Leaders)
			to.exchange.Merge(fmt.Sprint(i), report, exchangeInterval)
		}
	}
}
