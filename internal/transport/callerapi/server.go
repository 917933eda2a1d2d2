// Package callerapi serves the callers' API: OpenAI chat completions, calls of
// plain services by name, and the list of entry instances to use.
package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"expvar"
	"strings"
	"time"

	"github.com/rs/xid"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/entries"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/state/clientmemory"
)

// Headers of the callers' API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderVersion        = "X-Medlarslip-Version"
	HeaderSessionToken   = "X-Medlarslip-Session"
	HeaderKind           = "X-Medlarslip-Kind"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderQuality is met, unrated or below_target.
	HeaderQuality = "X-Medlarslip-Quality"
)

// ServicePathPrefix is followed by the name of a plain service and the path
// of the call.
const ServicePathPrefix = "/v1/services/"

// EntriesSource returns the entry instances that callers may use.
type EntriesSource interface {
	Entries() entries.Answer
}

// Server answers callers. Its fields must be set before the first request.
type Server struct {
	Router  *dispatch.Router
	Config  *configuration.Store
	Entries EntriesSource
	// Closing reports whether connections are closed after the current request;
	// nil means never.
	Closing func() bool
}

// Counters of this package.
var (
	requestCount = expvar.NewMap("caller_requests")
	refusalCount = expvar.NewMap("caller_refusals")
	panicCount   = expvar.NewInt("caller_program_faults")
)

const (
	noConfigurationRetryAfter = time.Second
	noEntryRetryAfter         = time.Second
)

// Handle is the fasthttp handler of the callers' API.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	if s.Closing != nil && s.Closing() {
		ctx.SetConnectionClose()
	}
	requestID := xid.New().String()
	ctx.Response.Header.Set(HeaderRequestID, requestID)
	defer s.recoverPanic(ctx, requestID)
	if refused := s.route(ctx, requestID); refused != nil {
		writeRefusal(ctx, refused, requestID)
	}
}

// recoverPanic keeps a panic in one request from terminating the process.
func (s *Server) recoverPanic(ctx *fasthttp.RequestCtx, requestID string) {
	if recovered := recover(); recovered != nil {
		logPanic(requestID, recovered)
		writeRefusal(ctx, refusal.NewUnknown(refusal.KindInternal, "internal error", "report the request ID to the operators"), requestID)
	}
}

func logPanic(requestID string, fault any) {
	panicCount.Add(1)
	logrus.WithField("request_id", requestID).Errorf("panic while handling a request: %v", fault)
}

// HandleError answers requests that fasthttp can't read.
func (s *Server) HandleError(ctx *fasthttp.RequestCtx, err error) {
	requestID := xid.New().String()
	ctx.Response.Header.Set(HeaderRequestID, requestID)
	refused := refusal.New(refusal.KindBadRequest, "the request can't be read: "+err.Error(), "send HTTP/1.1 as the callers' page says")
	var small *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &small) {
		refused = refusal.New(refusal.KindTooLarge, "the request is over the limits of this instance", "send a smaller body or header")
	}
	ctx.SetConnectionClose()
	writeRefusal(ctx, refused, requestID)
}

// memoryRetry is when a caller may repeat a request that was refused for lack of memory:
// after stalled bodies have been evicted.
const memoryRetry = time.Second

// RefuseBody answers requests whose body was not read to its end. They have not run.
func (s *Server) RefuseBody(ctx *fasthttp.RequestCtx, err error) {
	if !clientmemory.IsRefusal(err) {
		s.HandleError(ctx, err)
		return
	}
	requestID := xid.New().String()
	ctx.Response.Header.Set(HeaderRequestID, requestID)
	refused := refusal.New(refusal.KindOverloaded, "callers hold as much memory as this instance has for them", "send the request again, to another entry instance if there is one")
	writeRefusal(ctx, refused.After(memoryRetry), requestID)
}

// DropAnswer replaces an answer that does not fit into the memory for callers. Its request has run.
func (*Server) DropAnswer(ctx *fasthttp.RequestCtx) {
	requestID := string(ctx.Response.Header.Peek(HeaderRequestID))
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	ctx.Response.Header.Set(HeaderRequestID, requestID)
	writeRefusal(ctx, refusal.NewUnknown(refusal.KindBrokenAnswer, "the answer was dropped, since callers hold as much memory as this instance has for them", "read answers without delay, and ask again where that is harmless").After(memoryRetry), requestID)
}

func (s *Server) route(ctx *fasthttp.RequestCtx, requestID string) *refusal.Refusal {
	path := string(ctx.Path())
	switch {
	case path == entries.Path && ctx.IsGet():
		requestCount.Add("entries", 1)
		return s.entries(ctx)
	case path == openai.ModelsPath && ctx.IsGet():
		requestCount.Add("models", 1)
		return s.models(ctx)
	case path == openai.ChatCompletionsPath && ctx.IsPost():
		requestCount.Add("chat", 1)
		return s.chat(ctx, requestID)
	case strings.HasPrefix(path, ServicePathPrefix):
		requestCount.Add("service", 1)
		return s.service(ctx, requestID, strings.TrimPrefix(path, ServicePathPrefix))
	default:
		return refusal.New(refusal.KindBadRequest, "no such call: "+string(ctx.Method())+" "+path, "use a call of the callers' page")
	}
}

// entries writes the entry instances to use. An empty list would leave the
// caller without an instance to call, so it is refused with a time to retry.
func (s *Server) entries(ctx *fasthttp.RequestCtx) *refusal.Refusal {
	answer := s.Entries.Entries()
	if len(answer.Entries) == 0 {
		return refusal.New(refusal.KindNoEntry, "this instance is leaving and knows no other", "ask another instance, or this one again after the given wait").After(noEntryRetryAfter)
	}
	return writeJSON(ctx, answer)
}

// caller is an authenticated caller under the configuration in force.
type caller struct {
	config  *configuration.InForce
	account *document.ClientAccount
}

func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*caller, *refusal.Refusal) {
	config := s.Config.Current()
	if config == nil {
		return nil, refusal.New(refusal.KindNoConfiguration, "this instance has no configuration yet", "ask again, or use another entry").After(noConfigurationRetryAfter)
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return nil, refusal.New(refusal.KindUnauthenticated, "no API key", "send it as Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	account := config.Index.AccountByKeyHash(hex.EncodeToString(sum[:]))
	if account == nil {
		return nil, refusal.New(refusal.KindUnauthenticated, "the API key is unknown", "use a key of your client account")
	}
	return &caller{config: config, account: account}, nil
}

// kind returns the kind that the header of the request names, or the default
// kind of the client account.
func (c *caller) kind(ctx *fasthttp.RequestCtx) (*document.Kind, *refusal.Refusal) {
	name := string(ctx.Request.Header.Peek(HeaderKind))
	if name == "" {
		name = c.account.DefaultKind
	}
	kind := c.config.Index.Kind(name)
	if kind == nil {
		return nil, refusal.New(refusal.KindBadRequest, "no kind "+name, "leave out "+HeaderKind+" or name a kind of the configuration")
	}
	return kind, nil
}

func (s *Server) models(ctx *fasthttp.RequestCtx) *refusal.Refusal {
	c, refused := s.authenticate(ctx)
	if refused != nil {
		return refused
	}
	return writeJSON(ctx, listModels(c))
}

// listModels lists the cascades and versions that the client account may use.
func listModels(c *caller) openai.ModelList {
	list := openai.ModelList{Object: "list", Data: []openai.Model{}}
	add := func(id string) {
		list.Data = append(list.Data, openai.Model{ID: id, Object: "model", OwnedBy: "medlarslip"})
	}
	for _, cascade := range c.config.Index.Document().Cascades {
		if mayUse(c, &cascade) {
			add(cascade.Name)
		}
	}
	for _, id := range c.account.AllowedVersions {
		if !c.config.Index.Version(id).Withdrawn {
			add(id)
		}
	}
	return list
}

func mayUse(c *caller, cascade *document.Cascade) bool {
	for _, id := range c.account.AllowedVersions {
		model := c.config.Index.ModelOf(id)
		for _, step := range cascade.Steps {
			if step == model.Name && !c.config.Index.Version(id).Withdrawn {
				return true
			}
		}
	}
	return false
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) *refusal.Refusal {
	body, err := json.Marshal(value)
	if err != nil {
		return refusal.NewUnknown(refusal.KindInternal, err.Error(), "report this to the operators")
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
	return nil
}

func writeRefusal(ctx *fasthttp.RequestCtx, refused *refusal.Refusal, requestID string) {
	refused.RequestID = requestID
	refusalCount.Add(string(refused.Kind), 1)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(refused.Status())
	ctx.SetContentType("application/json")
	if refused.RetryAfterMillis > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(refused))
	}
	ctx.SetBody(refusal.Encode(refused))
}

// requestContext returns the context of one request. fasthttp does not report
// that a caller has disconnected, so only the time limits of the request itself
// end it.
func requestContext() context.Context { return context.Background() }
