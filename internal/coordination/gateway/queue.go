package gateway

import (
	"time"

	"medlarslip/internal/state/backends"
)

// maxReportAge is the age from which a load report says nothing of the queue.
const maxReportAge = 3 * time.Second

// meanQueueLength returns the mean number of requests that wait at a server of the
// service, by the latest reports; 0 where there are none.
func (g *Gateway) meanQueueLength(service string, now time.Time) float64 {
	servers := backends.List(g.Servers.Serving(service))
	waiting, reports := 0, 0
	for i := range servers {
		server := servers.Snapshot(i)
		if server.Server.Leaving || server.Load.ReadAt.IsZero() || now.Sub(server.Load.ReadAt) > maxReportAge {
			continue
		}
		waiting += server.Load.Waiting
		reports++
	}
	if reports == 0 {
		return 0
	}
	return float64(waiting) / float64(reports)
}
