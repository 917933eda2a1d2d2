package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/transport/engine"
	"medlarslip/internal/transport/httpconn"
)

const (
	versionID  = "small-1"
	tokenCount = 6
)

func newEngine(fault engineserver.Fault, resumable bool) *engineserver.Engine {
	e := engineserver.New(engineserver.Config{
		Versions: []string{versionID}, Tokens: tokenCount, MaxRunning: 8, Resumable: resumable, SlowBy: 10 * time.Second,
	})
	e.OnRequest(func(*openai.ChatRequest, string) engineserver.Fault { return fault })
	return e
}

func newClient(t *testing.T) *engine.Client {
	t.Helper()
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	return engine.New(pool)
}

func newCall(address string) *attempt.EngineCall {
	return &attempt.EngineCall{
		Address:   address,
		VersionID: versionID,
		AttemptID: "request-1",
		Priority:  3,
		Body: map[string]json.RawMessage{
			"model":       json.RawMessage(`"draft"`),
			"messages":    json.RawMessage(`[{"role":"user","content":"hello"}]`),
			"temperature": json.RawMessage(`0.5`),
		},
	}
}

func fullText() string { return strings.Join(engineserver.Tokens(versionID, tokenCount), "") }

func TestCompleteTakesOnlyWholeAnswers(t *testing.T) {
	cases := []struct {
		fault engineserver.Fault
		want  error
	}{
		{engineserver.FaultNone, nil},
		{engineserver.FaultCut, attempt.ErrBroken},
		{engineserver.FaultGarbage, attempt.ErrBroken},
		{engineserver.FaultCrossed, attempt.ErrBroken},
		{engineserver.FaultVersion, attempt.ErrBroken},
		{engineserver.FaultNoFinish, attempt.ErrBroken},
		{engineserver.FaultEmptyBody, attempt.ErrBroken},
		{engineserver.FaultError, attempt.ErrBroken},
		{engineserver.FaultRefuse, attempt.ErrBusy},
	}
	for _, tc := range cases {
		t.Run("fault "+string(tc.fault), func(t *testing.T) {
			address := loopback.Serve(t, newEngine(tc.fault, false).Handle)
			answer, err := newClient(t).Complete(context.Background(), newCall(address))
			if tc.want != nil {
				must.ErrorIs(t, err, tc.want)
				return
			}
			must.NoError(t, err)
			must.Eq(t, fullText(), answer.Parsed.Choices[0].Message.Content)
			must.Eq(t, versionID, answer.Parsed.Model)
		})
	}
}

func TestCompleteReportsUnreachableServer(t *testing.T) {
	_, err := newClient(t).Complete(context.Background(), newCall(loopback.Refused()))
	must.ErrorIs(t, err, attempt.ErrUnreachable)
}

func TestCompleteFailsWhenContextIsCanceled(t *testing.T) {
	address := loopback.Serve(t, newEngine(engineserver.FaultNone, false).Handle)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newClient(t).Complete(ctx, newCall(address))
	must.ErrorIs(t, err, attempt.ErrUnreachable)
}

// receivedFields returns the decoded body that an engine receives for a call.
func receivedFields(t *testing.T, complete func(client *engine.Client, call *attempt.EngineCall)) map[string]json.RawMessage {
	t.Helper()
	var fields map[string]json.RawMessage
	address := loopback.Serve(t, func(ctx *fasthttp.RequestCtx) {
		must.NoError(t, json.Unmarshal(ctx.PostBody(), &fields))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	})
	complete(newClient(t), newCall(address))
	return fields
}

func TestRequestBodyCombinesCallerAndSystemFields(t *testing.T) {
	completeFields := receivedFields(t, func(client *engine.Client, call *attempt.EngineCall) {
		call.Body["Stream"] = json.RawMessage(`"other case"`)
		_, err := client.Complete(context.Background(), call)
		must.ErrorIs(t, err, attempt.ErrBusy)
	})
	must.Eq(t, map[string]json.RawMessage{
		"model": json.RawMessage(`"small-1"`), "stream": json.RawMessage(`false`), "priority": json.RawMessage(`3`),
		"messages": json.RawMessage(`[{"role":"user","content":"hello"}]`), "temperature": json.RawMessage(`0.5`),
		"Stream": json.RawMessage(`"other case"`),
	}, completeFields)
	streamFields := receivedFields(t, func(client *engine.Client, call *attempt.EngineCall) {
		call.Body["stream_options"] = json.RawMessage(`{"include_usage":false}`)
		_, err := client.Open(context.Background(), call, 0)
		must.ErrorIs(t, err, attempt.ErrBusy)
	})
	must.Eq(t, `true`, string(streamFields["stream"]))
	must.Eq(t, `{"include_usage":true}`, string(streamFields["stream_options"]))
}

// collect reads a stream to its end and returns the text.
func collect(stream attempt.Stream) (string, error) {
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		for _, choice := range chunk.Parsed.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
}

func TestStreamTakesOnlyWholeAnswers(t *testing.T) {
	partial := strings.Join(engineserver.Tokens(versionID, tokenCount)[:tokenCount/2], "")
	cases := []struct {
		fault     engineserver.Fault
		resumable bool
		text      string
		want      error
	}{
		{engineserver.FaultNone, false, fullText(), nil},
		{engineserver.FaultNone, true, fullText(), nil},
		{engineserver.FaultCut, false, partial, attempt.ErrBroken},
		{engineserver.FaultCut, true, partial, attempt.ErrBroken},
		{engineserver.FaultNoEnd, false, partial, attempt.ErrBroken},
		{engineserver.FaultGap, true, partial, attempt.ErrBroken},
		{engineserver.FaultCrossed, false, "", attempt.ErrBroken},
		{engineserver.FaultVersion, false, "", attempt.ErrBroken},
		{engineserver.FaultGarbage, false, "", attempt.ErrBroken},
		{engineserver.FaultEmptyBody, false, "", attempt.ErrBroken},
	}
	for _, tc := range cases {
		t.Run("fault "+string(tc.fault), func(t *testing.T) {
			address := loopback.Serve(t, newEngine(tc.fault, tc.resumable).Handle)
			stream, err := newClient(t).Open(context.Background(), newCall(address), 0)
			must.NoError(t, err)
			text, err := collect(stream)
			must.Eq(t, tc.text, text)
			if tc.want == nil {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, tc.want)
		})
	}
}

func TestStreamWithRepeatedEventIsBroken(t *testing.T) {
	address := loopback.Serve(t, newEngine(engineserver.FaultRepeat, true).Handle)
	stream, err := newClient(t).Open(context.Background(), newCall(address), 0)
	must.NoError(t, err)
	_, err = collect(stream)
	must.ErrorIs(t, err, attempt.ErrBroken)
}

func TestStreamResumesAfterLastEvent(t *testing.T) {
	server := newEngine(engineserver.FaultNone, true)
	address := loopback.Serve(t, server.Handle)
	client := newClient(t)
	stream, err := client.Open(context.Background(), newCall(address), 2)
	must.NoError(t, err)
	text, err := collect(stream)
	must.NoError(t, err)
	must.Eq(t, strings.Join(engineserver.Tokens(versionID, tokenCount)[2:], ""), text)
	must.Eq(t, 2, server.Calls()[0].After)
}

func TestStreamsReuseConnection(t *testing.T) {
	server := newEngine(engineserver.FaultNone, false)
	address := loopback.Serve(t, server.Handle)
	client := newClient(t)
	for range 3 {
		stream, err := client.Open(context.Background(), newCall(address), 0)
		must.NoError(t, err)
		text, err := collect(stream)
		must.NoError(t, err)
		must.Eq(t, fullText(), text)
	}
}
