package gateway

import (
	"time"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/state/backends"
)

// meanQueueLength returns the mean number of requests that are queued at a
// server of the service, by the latest load reports; 0 if there are none.
func (g *Gateway) meanQueueLength(service string, now time.Time) float64 {
	servers := backends.List(g.Servers.Serving(service))
	waiting, reports := 0, 0
	for i := range servers {
		server := servers.Snapshot(i)
		if server.Server.Leaving || server.Load.ReadAt.IsZero() || now.Sub(server.Load.ReadAt) > admission.MaxReportAge {
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
