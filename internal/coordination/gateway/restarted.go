package gateway

import (
	"sync"
	"time"

	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// restartedServers tells when servers that have started again are warm. The entry of a server
// that can't reach the store is that of its former run.
type restartedServers struct {
	mu sync.Mutex
	// warmAt holds when servers that have ended and answered again are warm, by
	// incarnation.
	warmAt map[string]time.Time
}

// answered notes an answer of a server that is known to have ended, which is cold for a time
// from its start.
func (r *restartedServers) answered(incarnation string, now time.Time, cold time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.warmAt[incarnation]; known {
		return
	}
	if r.warmAt == nil {
		r.warmAt = map[string]time.Time{}
	}
	for other, at := range r.warmAt {
		if now.Sub(at) >= restartMemory {
			delete(r.warmAt, other)
		}
	}
	r.warmAt[incarnation] = now.Add(cold)
}

// restartMemory is how long a server that has become warm is remembered: above the time for
// which its end is.
const restartMemory = time.Minute

// isWarm reports whether a server that is known to have ended has been up again for long
// enough.
func (r *restartedServers) isWarm(incarnation string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, known := r.warmAt[incarnation]
	return known && !now.Before(at)
}

// isCold reports whether a server is cold: its entry says so, or it has ended, and has
// answered again only for a short time or not yet.
func (g *Gateway) isCold(server *backends.Snapshot, service *routes.Service, now time.Time) bool {
	if now.Before(server.Server.ColdUntil) {
		return true
	}
	incarnation := server.Server.Incarnation
	return service != nil && service.ColdTime > 0 && g.Quarantine.HasEnded(incarnation) && !g.restarted.isWarm(incarnation, now)
}

// recordRestart notes that the server of an attempt has answered.
func (a *attempt) recordRestart() {
	incarnation := a.choice.snapshot.Server.Incarnation
	if !a.gateway.Quarantine.HasEnded(incarnation) {
		return
	}
	if service := a.req.index.Service(a.req.service); service != nil {
		a.gateway.restarted.answered(incarnation, time.Now(), service.ColdTime)
	}
}
