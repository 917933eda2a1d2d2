package callerapi

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/transport/clientconn"
)

const maxIdempotencyKeyBytes = 256

func (s *Server) service(ctx *fasthttp.RequestCtx, requestID, rest string) *refusal.Refusal {
	c, refused := s.authenticate(ctx)
	if refused != nil {
		return refused
	}
	call, refused := decodeService(ctx, c, requestID, rest)
	if refused != nil {
		return refused
	}
	answer, refused := s.Router.Plain(requestContext(), call)
	if refused != nil {
		return refused
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.SetBodyRaw(answer.Body)
	return nil
}

func decodeService(ctx *fasthttp.RequestCtx, c *caller, requestID, rest string) (*dispatch.PlainCall, *refusal.Refusal) {
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	service := c.config.Index.Service(name)
	if service == nil {
		return nil, refusal.New(refusal.KindUnknownService, "no service "+name, "use the name of a service of the configuration")
	}
	if !slices.Contains(c.account.AllowedServices, name) {
		return nil, refusal.New(refusal.KindNotAllowed, "client account "+c.account.Name+" may not call "+name, "ask the operators to allow it")
	}
	// The patterns of non-idempotent calls are matched against the normalized
	// path. A path in another form could reach such a call without matching.
	if string(ctx.URI().PathOriginal()) != ServicePathPrefix+name+path {
		return nil, refusal.New(refusal.KindBadRequest, "the path is not in its normal form", "write it without escapes, dots and doubled slashes")
	}
	key := string(ctx.Request.Header.Peek(HeaderIdempotencyKey))
	if len(key) > maxIdempotencyKeyBytes {
		return nil, refusal.New(refusal.KindBadRequest, "the Idempotency-Key is too long", "use at most 256 bytes")
	}
	body := append([]byte(nil), ctx.PostBody()...)
	// The request that is sent to the service takes the place of the body in memory.
	ctx.Request.ResetBody()
	return &dispatch.PlainCall{
		RequestID:   requestID,
		Config:      c.config,
		Account:     c.account,
		Service:     service,
		Method:      string(ctx.Method()),
		Path:        path,
		Query:       string(ctx.URI().QueryString()),
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        body,
		Key:         key,
		Memory:      clientconn.RequestMemory(ctx),
	}, nil
}
