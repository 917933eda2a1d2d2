package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/routes"
)

// end describes how a request ended.
type end struct {
	outcome string
	refused *refusal
	// abort is true where the connection of the client must be closed, because
	// its response can't be completed.
	abort bool
	// status is the status code of the backend server's response.
	status int
	server string
	model  string
	// version is the version of the server.
	version string
	// verdicts lists the verdicts of the attempts.
	verdicts []string
	resumed  int
	// first is the time to first event of a stream, and pause the longest time
	// between two events.
	first, pause time.Duration
	// confidence is the confidence that the server reported, 0 to 100, or -1.
	confidence int
	// predicted is what the last run was expected to take; zero for placement by load.
	predicted workload.Times
}

func (g *Gateway) logRefusal(req *request, r *http.Request, refused *refusal) {
	fields := logrus.Fields{"event": "request_refused", "cause": refused.cause, "status": refused.status, "path": rawPath(r)}
	if req != nil {
		fields["request_id"] = req.call.ID
		req.logWait(fields)
		if req.index != nil {
			fields["configuration"] = req.index.Version
		}
	}
	fields["proof_age_ms"] = g.Clock().Since(g.Current().ProvenAt).Milliseconds()
	g.Metrics.Answered("none", refused.cause, 0)
	g.Log.WithFields(fields).Info("request refused before it was sent to a server")
}

func (g *Gateway) logEnd(req *request, e *end) {
	took := time.Since(req.started)
	g.Metrics.Answered(req.route.Kind.String(), e.outcome, took)
	g.countSize(req, e, took)
	fields := logrus.Fields{
		"event": "request_ended", "request_id": req.call.ID, "route": req.route.Name, "service": req.service,
		"configuration": req.index.Version, "outcome": e.outcome, "attempts": strings.Join(e.verdicts, ","),
		"took_ms": took.Milliseconds(), "account": req.accountName(), "server": e.server,
	}
	if e.refused != nil {
		fields["status"] = e.refused.status
	} else {
		fields["status"] = e.status
	}
	if e.model != "" {
		fields["model"], fields["version"], fields["prompt_tokens"] = e.model, e.version, req.call.PromptTokens
	}
	if e.first > 0 {
		fields["first_ms"], fields["pause_ms"] = e.first.Milliseconds(), e.pause.Milliseconds()
	}
	if e.predicted.End > 0 {
		fields["predicted_first_ms"], fields["predicted_ms"] = e.predicted.FirstEvent.Milliseconds(), e.predicted.End.Milliseconds()
	}
	if req.size != workload.SizeUnknown {
		fields["size"] = req.size.String()
	}
	if late := req.late(e, took); late != "" {
		fields["late"] = late
	}
	if e.model != "" && e.confidence >= 0 {
		fields["confidence"] = e.confidence
	}
	req.logWait(fields)
	req.capacity.log(fields)
	if req.call.Session != "" {
		fields["session"] = req.call.Session
	}
	if e.resumed > 0 {
		fields["resumed"] = e.resumed
	}
	g.Log.WithFields(fields).Info("request ended")
}

// countSize counts a request of known class. An answer that is no stream has its time to the end as
// the time to its first event.
func (g *Gateway) countSize(req *request, e *end, took time.Duration) {
	if req.size == workload.SizeUnknown {
		return
	}
	first := e.first
	if req.route.Kind != routes.Stream && e.outcome == "answered" {
		first = took
	}
	g.Metrics.Sized(req.service, req.size.String(), req.objectiveOutcome(e, took), first)
}

// objectiveOutcome returns whether the objective of an ended request was met, as counted. A request that
// is refused or ends without an answer misses it, unless its client has left.
func (r *request) objectiveOutcome(e *end, took time.Duration) string {
	switch {
	case r.route.Objective <= 0:
		return "none"
	case e.outcome == "client_gone":
		return "client_gone"
	case e.outcome == "answered" && r.late(e, took) == "":
		return "met"
	default:
		return "missed"
	}
}

// late returns the name of the latency objective that the response missed;
// empty if none.
func (r *request) late(e *end, took time.Duration) string {
	objective := r.route.Objective
	switch {
	case e.outcome != "answered" || objective <= 0:
		return ""
	case r.route.Kind != routes.Stream:
		if took > objective {
			return "answer"
		}
	case e.first > objective:
		return "first_event"
	case r.route.GapObjective > 0 && e.pause > r.route.GapObjective:
		return "pause"
	}
	return ""
}
