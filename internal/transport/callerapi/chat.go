package callerapi

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/transport/clientconn"
)

func retryAfterSeconds(refused *refusal.Refusal) string {
	wait := time.Duration(refused.RetryAfterMillis) * time.Millisecond
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

func (s *Server) chat(ctx *fasthttp.RequestCtx, requestID string) *refusal.Refusal {
	c, refused := s.authenticate(ctx)
	if refused != nil {
		return refused
	}
	call, refused := decodeChat(ctx, c, requestID)
	if refused != nil {
		return refused
	}
	if call.Request.Stream {
		return s.streamChat(ctx, call)
	}
	result, refused := s.Router.Chat(requestContext(), call)
	if refused != nil {
		return refused
	}
	setAnswerHeaders(ctx, result.VersionID, result.SessionToken)
	ctx.Response.Header.Set(HeaderQuality, string(result.Quality))
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(result.Body)
	return nil
}

// decodeChat copies everything that it keeps of the request, since fasthttp
// reuses its buffers.
func decodeChat(ctx *fasthttp.RequestCtx, c *caller, requestID string) (*dispatch.ChatCall, *refusal.Refusal) {
	kind, refused := c.kind(ctx)
	if refused != nil {
		return nil, refused
	}
	call := &dispatch.ChatCall{
		RequestID:    requestID,
		Config:       c.config,
		Account:      c.account,
		Kind:         kind,
		Memory:       clientconn.RequestMemory(ctx),
		SessionToken: string(ctx.Request.Header.Peek(HeaderSessionToken)),
	}
	if openai.TooManyFields(ctx.PostBody()) {
		return nil, refusal.New(refusal.KindBadRequest, "the request has more than "+strconv.Itoa(openai.MaxFields)+" fields", "send the fields of the OpenAI API only")
	}
	// The fields are copies.
	if err := json.Unmarshal(ctx.PostBody(), &call.Body); err != nil {
		return nil, invalidBody(err)
	}
	// The request that is sent to the engine takes the place of the body in memory.
	ctx.Request.ResetBody()
	request, err := openai.ParseChatRequest(call.Body)
	if err != nil {
		return nil, invalidBody(err)
	}
	call.Request = request
	if call.Request.Model == "" {
		return nil, refusal.New(refusal.KindBadRequest, "field model is missing", "name a model that GET /v1/models lists")
	}
	if len(call.Request.Messages) == 0 {
		return nil, refusal.New(refusal.KindBadRequest, "field messages is empty", "send at least one message")
	}
	return call, nil
}

func invalidBody(err error) *refusal.Refusal {
	return refusal.New(refusal.KindBadRequest, "the body is no chat completion request: "+err.Error(), "send a JSON object with model and messages")
}

func setAnswerHeaders(ctx *fasthttp.RequestCtx, versionID, sessionToken string) {
	ctx.Response.Header.Set(HeaderVersion, versionID)
	ctx.Response.Header.Set(HeaderSessionToken, sessionToken)
}

func (s *Server) streamChat(ctx *fasthttp.RequestCtx, call *dispatch.ChatCall) *refusal.Refusal {
	stream, refused := s.Router.Stream(requestContext(), call)
	if refused != nil {
		return refused
	}
	setAnswerHeaders(ctx, stream.VersionID, stream.SessionToken)
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer recoverStream(call.RequestID)
		defer stream.Close()
		relay(w, stream)
	})
	return nil
}

// recoverStream keeps a panic in one stream from terminating the process. The
// caller detects the failure by the missing end marker.
func recoverStream(requestID string) {
	if recovered := recover(); recovered != nil {
		logPanic(requestID, recovered)
	}
}

// relay forwards a stream, one event at a time. A failed write means that the
// caller has disconnected.
func relay(w *bufio.Writer, stream *dispatch.ChatStream) {
	for {
		data, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			_ = writeEvent(w, []byte(openai.DoneMark))
			return
		case err != nil:
			writeStreamRefusal(w, err)
			return
		}
		if err := writeEvent(w, data); err != nil {
			return
		}
	}
}

// writeStreamRefusal ends a stream that can't be completed with an event that
// contains the refusal. It omits the end marker.
func writeStreamRefusal(w *bufio.Writer, err error) {
	var refused *refusal.Refusal
	if !errors.As(err, &refused) {
		refused = refusal.NewUnknown(refusal.KindInternal, err.Error(), "ask again")
	}
	refusalCount.Add(string(refused.Kind), 1)
	_ = writeEvent(w, refusal.Encode(refused))
}

// writeBytes is the size of the parts in which an event is written. The server copies and queues each write of a
// stream, so that a large one would be in memory several times until its caller takes it.
const writeBytes = 2 << 10

func writeEvent(w *bufio.Writer, data []byte) error {
	if _, err := w.WriteString("data: "); err != nil {
		return err
	}
	for part := range slices.Chunk(data, writeBytes) {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("\n\n"); err != nil {
		return err
	}
	return w.Flush()
}
