package gateway

import (
	"net/http"
	"time"

	"medlarslip/internal/coordination/quarantine"
)

// Refusals of a request with a prompt part under quarantine, and of one that is itself.
var (
	refusePart    = refusal{http.StatusServiceUnavailable, "prompt_part_quarantined", "not run: servers end under a part of this prompt; leave it out or come back later", retryLater}
	refuseRequest = refusal{http.StatusServiceUnavailable, "request_quarantined", "not run: servers end under this request; change it or come back later", retryLater}
)

// observeDrop reports an attempt that was given up while its server may be at work.
func (g *Gateway) observeDrop(a *attempt) {
	g.Quarantine.Dropped(a.choice.snapshot.Server.Incarnation, a.req.keys)
}

// startTime is the time from the first event of a stream after which its server has
// survived the start of the request.
const startTime = time.Second

// recordStart reports the request once its stream has gone on for startTime.
func (a *attempt) recordStart(now time.Time) {
	switch {
	case a.started:
	case a.firstEventAt.IsZero():
		a.firstEventAt = now
	case now.Sub(a.firstEventAt) >= startTime:
		a.started = true
		a.gateway.Quarantine.Started(a.req.keys)
	}
}

// observeEnd records that the response of an attempt ended as if it were complete. A
// response without a length proves that only while its server goes on.
func (g *Gateway) observeEnd(a *attempt) {
	switch {
	case !isSuccess(a.reply.Status):
	case a.response.Framed():
		g.Quarantine.Answered(a.req.keys)
	case a.ctx.Err() != nil:
		g.observeDrop(a)
	default:
		g.checkBreak(a, nil)
	}
}

// quarantined returns the refusal of a request that is under quarantine; nil if it is not.
func (g *Gateway) quarantined(req *request) *refusal {
	if block := g.Quarantine.Blocked(req.keys); block != nil {
		return quarantinedBy(block)
	}
	return nil
}

// quarantinedBy returns the refusal for a quarantine.
func quarantinedBy(block *quarantine.Block) *refusal {
	refused := refusePart
	if block.Kind == quarantine.WholeRequest {
		refused = refuseRequest
	}
	refused.retryAfter = max(refused.retryAfter, block.Left)
	return &refused
}
