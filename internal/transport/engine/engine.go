// Package engine calls OpenAI-compatible model engines. It checks that every
// answer is complete and belongs to its attempt.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/transport/bodybuffer"
	"medlarslip/internal/transport/httpconn"
)

// Headers of a call.
const (
	// HeaderRequestID carries the attempt ID, which the engine may echo in its
	// response.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the priority of the request.
	HeaderPriority = "X-Request-Priority"
	// HeaderLastEventID resumes a stream after the given event, as specified
	// for server-sent events in the HTML standard.
	HeaderLastEventID = "Last-Event-ID"
)

// Client implements attempt.Engines. It is safe for concurrent use.
type Client struct {
	pool *httpconn.Pool
}

var _ attempt.Engines = (*Client)(nil)

// New returns a client that uses the connections of pool.
func New(pool *httpconn.Pool) *Client { return &Client{pool: pool} }

// Complete requests an answer that is not streamed. The error is of one of the
// kinds of package attempt.
func (c *Client) Complete(ctx context.Context, call *attempt.EngineCall) (*attempt.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	held := attempt.NewHeld(call.Memory)
	if err := prepare(req, call, false, held); err != nil {
		return nil, err
	}
	raw, err := c.pool.Open(ctx, call.Address, req, resp, httpconn.ReuseIdle)
	dropBody(req, held)
	if err != nil {
		return nil, callError(err)
	}
	defer raw.Close()
	answer, err := readAnswer(call, raw, resp, held)
	if err != nil {
		held.Release()
		return nil, err
	}
	answer.Held = held
	return answer, nil
}

func readAnswer(call *attempt.EngineCall, raw *httpconn.Stream, resp *fasthttp.Response, held *attempt.Held) (*attempt.Answer, error) {
	body, err := raw.ReadAll(held)
	if err != nil {
		return nil, callError(err)
	}
	if err := statusError(resp); err != nil {
		return nil, err
	}
	// The decoded text is a copy.
	if err := held.Grow(int64(len(body))); err != nil {
		return nil, merry.Prepend(attempt.ErrMemory, err.Error())
	}
	return decodeAnswer(call, string(resp.Header.Peek(HeaderRequestID)), body)
}

// prepare fills in a request. Its body counts until dropBody is called.
func prepare(req *fasthttp.Request, call *attempt.EngineCall, stream bool, held *attempt.Held) error {
	size := maxBodySize(call)
	if err := held.Grow(int64(size)); err != nil {
		return merry.Prepend(attempt.ErrBodyMemory, err.Error())
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + call.Address + openai.ChatCompletionsPath)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, call.AttemptID)
	req.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	req.SetBodyRaw(encodeBody(call, stream, size))
	return nil
}

// dropBody releases the body of a request that was sent.
func dropBody(req *fasthttp.Request, held *attempt.Held) {
	req.SetBodyRaw(nil)
	held.Release()
}

// systemFieldBytes bounds the size of the fields that the system sets, besides the version.
const systemFieldBytes = 128

// maxBodySize returns an upper bound of the size of an encoded body.
func maxBodySize(call *attempt.EngineCall) int {
	const punctuation = len(`,:`)
	size := systemFieldBytes + len(quote(call.VersionID)) + len(call.Unfinished) + punctuation
	for key, value := range call.Body {
		size += len(quote(key)) + len(value) + punctuation
	}
	return size
}

// encodeBody combines the caller's fields with those that the system sets.
func encodeBody(call *attempt.EngineCall, stream bool, size int) []byte {
	body := append(make([]byte, 0, size), `{"model":`...)
	body = append(body, quote(call.VersionID)...)
	body = append(body, `,"stream":`...)
	body = strconv.AppendBool(body, stream)
	body = append(body, `,"priority":`...)
	body = strconv.AppendInt(body, int64(call.Priority), 10)
	if stream {
		body = append(body, `,"stream_options":{"include_usage":true}`...)
	}
	for key, value := range call.Body {
		if isSystemField(key) {
			continue
		}
		body = append(body, ',')
		body = append(body, quote(key)...)
		body = append(body, ':')
		if key == "messages" && len(call.Unfinished) > 0 {
			body = appendMessage(body, value, call.Unfinished)
			continue
		}
		body = append(body, value...)
	}
	return append(body, '}')
}

// appendMessage appends a JSON array of at least one message with a further one at its end.
func appendMessage(body, messages, message []byte) []byte {
	messages = bytes.TrimRight(messages, " \t\r\n")
	body = append(body, bytes.TrimSuffix(messages, []byte("]"))...)
	body = append(body, ',')
	body = append(body, message...)
	return append(body, ']')
}

// isSystemField reports whether the system sets a field; a value of the caller
// is dropped.
func isSystemField(key string) bool {
	switch key {
	case "model", "stream", "stream_options", "priority":
		return true
	default:
		return false
	}
}

func quote(text string) json.RawMessage {
	quoted, _ := json.Marshal(text) // never fails for a string
	return quoted
}

func callError(err error) error {
	if errors.Is(err, bodybuffer.ErrMemory) {
		return merry.Prepend(attempt.ErrMemory, err.Error())
	}
	if httpconn.MayHaveRun(err) {
		return merry.Prepend(attempt.ErrBroken, err.Error())
	}
	return merry.Prepend(attempt.ErrUnreachable, err.Error())
}

func statusError(resp *fasthttp.Response) error {
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable:
		return merry.Prependf(attempt.ErrBusy, "status %d", status)
	case status >= 400 && status < 500:
		return merry.Prependf(attempt.ErrRejected, "status %d", status)
	default:
		return merry.Prependf(attempt.ErrBroken, "status %d", status)
	}
}

// decodeAnswer decodes an answer. It checks that the answer belongs to the
// attempt, comes from the requested version, has at least one choice, and gives
// a finish reason for each.
func decodeAnswer(call *attempt.EngineCall, header string, body []byte) (*attempt.Answer, error) {
	answer := &attempt.Answer{Body: body}
	if err := json.Unmarshal(answer.Body, &answer.Parsed); err != nil {
		return nil, merry.Prepend(attempt.ErrBroken, err.Error())
	}
	if err := checkAttempt(call, header, answer.Parsed.ID); err != nil {
		return nil, err
	}
	if err := checkModel(call, answer.Parsed.Model); err != nil {
		return nil, err
	}
	if len(answer.Parsed.Choices) == 0 {
		return nil, merry.Prepend(attempt.ErrBroken, "answer has no choice")
	}
	for _, choice := range answer.Parsed.Choices {
		if choice.FinishReason == "" {
			return nil, merry.Prepend(attempt.ErrBroken, "answer has no finish reason")
		}
	}
	return answer, nil
}

// checkAttempt accepts an answer whose header names the attempt or, without that
// header, whose ID ends with the attempt ID.
func checkAttempt(call *attempt.EngineCall, header, id string) error {
	if header == call.AttemptID || header == "" && strings.HasSuffix(id, call.AttemptID) {
		return nil
	}
	return merry.Prepend(attempt.ErrBroken, fmt.Sprintf("answer %q belongs to another attempt than %s", id, call.AttemptID))
}

func checkModel(call *attempt.EngineCall, model string) error {
	if model != call.VersionID {
		return merry.Prependf(attempt.ErrBroken, "answer is by version %q instead of %q", model, call.VersionID)
	}
	return nil
}
