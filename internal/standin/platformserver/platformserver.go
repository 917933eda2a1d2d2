// Package platformserver is an in-memory stand-in for the platform. It serves
// the log service, the instance list, the rating service and the weight store
// over HTTP.
package platformserver

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/logservice"
)

// AdminPathPrefix is the prefix of the paths through which a test or a script
// controls the stand-in: PUT instances, PUT log-outage?down=true, PUT
// rating-outage?down=true.
const AdminPathPrefix = "/admin/"

const (
	maxRead          = 1000 // records a read
	maxReadWait      = 30 * time.Second
	garbage          = `{"first_off`
	weightsPerSecond = 2 // downloads that the weight store serves a second
)

// Server serves all services of the platform.
type Server struct {
	Log *logservice.Service

	mu         sync.Mutex
	instances  platform.InstanceList
	ratingDown bool
	score      func(*platform.RatingRequest) float64
	weights    *rate.Limiter
}

// New returns a platform with an empty instance list. It serves log as the log
// service, and its rating service returns the scores of the function score.
func New(log *logservice.Service, score func(*platform.RatingRequest) float64) *Server {
	return &Server{Log: log, score: score, weights: rate.NewLimiter(weightsPerSecond, weightsPerSecond)}
}

// SetInstances replaces the instance list.
func (s *Server) SetInstances(list platform.InstanceList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = list
}

// Handle answers a request to any of the services; it is a
// fasthttp.RequestHandler.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, platform.LogPathPrefix):
		s.handleLog(ctx, strings.TrimPrefix(path, platform.LogPathPrefix))
	case path == platform.InstancesPath:
		s.handleInstances(ctx)
	case path == platform.RatingsPath:
		s.handleRating(ctx)
	case strings.HasPrefix(path, platform.WeightsPathPrefix):
		s.handleWeights(ctx)
	case strings.HasPrefix(path, AdminPathPrefix):
		s.handleAdmin(ctx, strings.TrimPrefix(path, AdminPathPrefix))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleLog(ctx *fasthttp.RequestCtx, stream string) {
	if ctx.IsPost() {
		s.appendLog(ctx, stream)
		return
	}
	args := ctx.QueryArgs()
	from := int64(args.GetUintOrZero("from"))
	limit := min(args.GetUintOrZero("limit"), maxRead)
	wait := min(time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond, maxReadWait)
	page, err := s.Log.Read(context.Background(), stream, from, limit, wait)
	switch {
	case err == nil:
		writeJSON(ctx, page)
	case errors.Is(err, logservice.ErrGarbage):
		ctx.SetBodyString(garbage)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) appendLog(ctx *fasthttp.RequestCtx, stream string) {
	var request platform.AppendRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil || len(request.Records) == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	first, err := s.Log.Append(context.Background(), stream, request.Records)
	switch {
	case err == nil:
		writeJSON(ctx, platform.AppendResponse{FirstOffset: first})
	case errors.Is(err, logservice.ErrGarbage):
		ctx.SetBodyString(garbage)
	case errors.Is(err, eventlog.ErrNotAppended):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

func (s *Server) handleInstances(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(ctx, s.instances)
}

func (s *Server) handleRating(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	down := s.ratingDown
	s.mu.Unlock()
	var request platform.RatingRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, platform.Rating{RequestID: request.RequestID, Score: s.score(&request)})
}

func (s *Server) handleWeights(ctx *fasthttp.RequestCtx) {
	if !s.weights.Allow() {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	ctx.SetBodyString("weights")
}

func (s *Server) handleAdmin(ctx *fasthttp.RequestCtx, name string) {
	down, _ := strconv.ParseBool(string(ctx.QueryArgs().Peek("down")))
	switch name {
	case "instances":
		var list platform.InstanceList
		if err := json.Unmarshal(ctx.PostBody(), &list); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetInstances(list)
	case "log-outage":
		s.Log.SetOutage(down)
	case "rating-outage":
		s.mu.Lock()
		s.ratingDown = down
		s.mu.Unlock()
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
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
