// Package adminapi serves the operators' read-only pages of one instance:
// metrics, health, status, rollouts and the explanation of a request.
package adminapi

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/state/requests"
)

// Paths of the pages.
const (
	MetricsPath       = "/debug/vars"
	HealthPath        = "/health"
	StatusPath        = "/status"
	RolloutsPath      = "/rollouts"
	ExplainPathPrefix = "/explain/"
)

// Status is the state that an instance reports.
type Status struct {
	Instance string `json:"instance"`
	// Configuration is the number of the document in force; 0 for none.
	Configuration int64  `json:"configuration"`
	Hash          string `json:"hash,omitempty"`
	// Source is where the document was received from: log or peer.
	Source configuration.Source `json:"source,omitempty"`
	// LearnedAt is the time by the wall clock of the instance at which it
	// received the document.
	LearnedAt *time.Time `json:"learned_at,omitempty"`
	// AsOf is the offset of the log position that has this document as its
	// result, or -1 if the position is not known.
	AsOf int64 `json:"as_of"`
	// OperatorKeys is the digest of the operators' public keys, which must be
	// the same on all instances.
	OperatorKeys string `json:"operator_keys"`
	Leaving      bool   `json:"leaving"`
}

// Server answers for one instance. Its fields must be set before the first
// request.
type Server struct {
	Instance     string
	Config       *configuration.Store
	Explanations *requests.Log
	Leaving      func() bool
	// Rollouts returns the status of the rollouts, with halts and stalls.
	Rollouts func() []rollout.Status
}

// Handle is the fasthttp handler of the pages.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == MetricsPath:
		expvarhandler.ExpvarHandler(ctx)
	case path == HealthPath:
		s.health(ctx)
	case path == StatusPath:
		writeJSON(ctx, s.status())
	case path == RolloutsPath:
		writeJSON(ctx, s.Rollouts())
	case strings.HasPrefix(path, ExplainPathPrefix):
		s.explain(ctx, strings.TrimPrefix(path, ExplainPathPrefix))
	default:
		ctx.Error("no such page; use "+MetricsPath+", "+HealthPath+", "+StatusPath+", "+RolloutsPath+" or "+ExplainPathPrefix+"REQUEST-ID", fasthttp.StatusNotFound)
	}
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if s.Config.Current() == nil {
		ctx.Error("no configuration yet", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ok")
}

func (s *Server) status() Status {
	digest := s.Config.Digest()
	status := Status{Instance: s.Instance, Leaving: s.Leaving(), AsOf: digest.AsOf, OperatorKeys: digest.Keys}
	if config := s.Config.Current(); config != nil {
		status.Configuration, status.Hash = config.Envelope.Number, config.Hash
		status.Source, status.LearnedAt = config.Source, &config.LearnedAt
	}
	return status
}

func (s *Server) explain(ctx *fasthttp.RequestCtx, requestID string) {
	explanation := s.Explanations.Get(requestID)
	if explanation == nil {
		ctx.Error("this instance no longer knows, or never had, request "+requestID+"; ask the instance that answered it", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, explanation)
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
