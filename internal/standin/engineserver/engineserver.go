// Package engineserver is a stand-in for an OpenAI-compatible model engine. It
// returns deterministic answers, injects faults, and reports its load in the
// Prometheus text format.
package engineserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/openai"
)

// Fault is the failure to inject into one answer.
type Fault string

// The faults that an engine can inject.
const (
	FaultNone      Fault = ""
	FaultCut       Fault = "cut"        // closes the connection mid-answer
	FaultNoEnd     Fault = "no_end"     // ends a stream without its end mark
	FaultGarbage   Fault = "garbage"    // sends a body that is not valid JSON
	FaultCrossed   Fault = "crossed"    // answers with another request's ID
	FaultVersion   Fault = "version"    // names another version in the answer
	FaultRefuse    Fault = "refuse"     // answers 503
	FaultError     Fault = "error"      // answers 500
	FaultSlow      Fault = "slow"       // waits SlowBy before the answer
	FaultGap       Fault = "gap"        // omits one event of a stream
	FaultRepeat    Fault = "repeat"     // sends one event of a stream twice
	FaultNoFinish  Fault = "no_finish"  // omits the finish reason of a whole answer
	FaultEmptyBody Fault = "empty_body" // answers 200 without a body
)

// Config configures an engine.
type Config struct {
	// Versions lists the version IDs that the engine serves.
	Versions []string
	// Tokens is the number of tokens of an answer.
	Tokens int
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// MaxRunning is the number of concurrent requests that the metrics report
	// as running; they report the others as waiting.
	MaxRunning int
	// SlowBy is the delay of FaultSlow.
	SlowBy time.Duration
	// Resumable makes the engine send event IDs, from which a client can resume
	// a stream.
	Resumable bool
	// ColdLimit is the number of concurrent requests that a cold engine can
	// handle; under more it answers 500 and restarts. 0 means any number.
	ColdLimit int
	// ColdAnswers is the number of successful answers after which the engine
	// is warm.
	ColdAnswers int
}

// Engine is one stand-in for a model engine.
type Engine struct {
	config  Config
	running atomic.Int64
	served  atomic.Int64
	cold    *coldState

	mu     sync.Mutex
	faults func(request *openai.ChatRequest, attempt string) Fault
	peak   int64
	// calls lists the requests in the order of their arrival.
	calls []ReceivedRequest
	// dropCalls disables the recording of requests in calls.
	dropCalls bool
}

// ReceivedRequest is one chat request as the engine received it. Attempt is its
// X-Request-Id, and After the number in its Last-Event-ID, or 0.
type ReceivedRequest struct {
	Attempt  string
	Model    string
	After    int
	Messages []openai.Message
}

// New returns a cold engine that injects no faults.
func New(config Config) *Engine { return &Engine{config: config, cold: newColdness(&config)} }

// OnRequest sets the function that chooses the fault of each request; nil
// injects none.
func (e *Engine) OnRequest(fault func(request *openai.ChatRequest, attempt string) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = fault
}

// Calls returns the chat requests that the engine received, in the order of
// their arrival.
func (e *Engine) Calls() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.calls...)
}

// DropCalls stops the recording of requests, which saves memory in benchmarks.
func (e *Engine) DropCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCalls = true
}

// Peak returns the highest number of concurrent requests so far.
func (e *Engine) Peak() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

// Handle answers a request to the engine; it is a fasthttp.RequestHandler.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case openai.ChatCompletionsPath:
		e.chat(ctx)
	case "/metrics":
		e.metrics(ctx)
	case "/health":
		ctx.SetStatusCode(fasthttp.StatusOK)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) metrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	running := e.running.Load()
	waiting := max(running-int64(e.config.MaxRunning), 0)
	fmt.Fprintf(ctx, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", running-waiting)
	fmt.Fprintf(ctx, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", waiting)
	fmt.Fprintf(ctx, "# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc %g\n", min(float64(running)/float64(max(e.config.MaxRunning, 1)), 1))
	fmt.Fprintf(ctx, "# TYPE vllm:request_success_total counter\nvllm:request_success_total %d\n", e.served.Load())
	e.cold.writeMetrics(ctx)
}

func (e *Engine) chat(ctx *fasthttp.RequestCtx) {
	var request openai.ChatRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	attempt := string(ctx.Request.Header.Peek("X-Request-Id"))
	after, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID")))
	fault := e.begin(&request, attempt, after)
	answer := &answer{engine: e, request: request, attempt: attempt, after: after, fault: fault}
	if fault == FaultSlow {
		time.Sleep(e.config.SlowBy)
	}
	if answer.refuse(ctx) {
		e.running.Add(-1)
		return
	}
	if request.Stream {
		answer.stream(ctx)
		return
	}
	defer e.running.Add(-1)
	answer.whole(ctx)
}

func (e *Engine) begin(request *openai.ChatRequest, attempt string, after int) Fault {
	running := e.running.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peak = max(e.peak, running)
	if !e.dropCalls {
		e.calls = append(e.calls, ReceivedRequest{Attempt: attempt, Model: request.Model, After: after, Messages: request.Messages})
	}
	if e.cold.crashesUnder(running) {
		return FaultError
	}
	if e.faults == nil {
		return FaultNone
	}
	return e.faults(request, attempt)
}

// answer is the state of one answer.
type answer struct {
	engine  *Engine
	request openai.ChatRequest
	attempt string
	after   int
	fault   Fault
}

func (a *answer) refuse(ctx *fasthttp.RequestCtx) bool {
	switch a.fault {
	case FaultRefuse:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case FaultError:
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	case FaultEmptyBody:
		ctx.SetStatusCode(fasthttp.StatusOK)
	case FaultGarbage:
		ctx.SetBodyString("{\"id\": nonsense")
	default:
		return false
	}
	return true
}

// tokens returns the tokens of the answer that are still to be sent. They
// depend only on the request and the configured length, so a test can check
// whether an answer is complete.
func (a *answer) tokens() []string {
	all := Tokens(a.request.Model, a.engine.config.Tokens)
	return all[min(len(all), a.alreadySent()):]
}

// alreadySent counts the tokens of the answer that the client already has:
// those up to the event after which to resume, or those in an unfinished last
// message of the assistant.
func (a *answer) alreadySent() int {
	if a.after > 0 {
		return a.after
	}
	if len(a.request.Messages) == 0 {
		return 0
	}
	last := a.request.Messages[len(a.request.Messages)-1]
	if last.Role != "assistant" {
		return 0
	}
	var text string
	if err := json.Unmarshal(last.Content, &text); err != nil {
		return 0
	}
	return strings.Count(text, " ")
}

// Tokens returns the tokens of a complete answer by a version.
func Tokens(version string, count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%s:%d ", version, i)
	}
	return tokens
}

func (a *answer) id() string {
	if a.fault == FaultCrossed {
		return "chatcmpl-another"
	}
	return "chatcmpl-" + a.attempt
}

func (a *answer) model() string {
	if a.fault == FaultVersion {
		return "another-version"
	}
	return a.request.Model
}

func (a *answer) usage() *openai.Usage {
	const promptTokens = 10
	count := int64(a.engine.config.Tokens)
	return &openai.Usage{PromptTokens: promptTokens, CompletionTokens: count, TotalTokens: promptTokens + count}
}

func (a *answer) whole(ctx *fasthttp.RequestCtx) {
	tokens := a.tokens()
	time.Sleep(time.Duration(len(tokens)) * a.engine.config.TokenTime)
	choice := openai.Choice{Message: openai.AnswerMessage{Role: "assistant", Content: strings.Join(tokens, "")}, FinishReason: "stop"}
	if a.fault == FaultNoFinish {
		choice.FinishReason = ""
	}
	body, err := json.Marshal(openai.ChatResponse{
		ID: a.id(), Object: "chat.completion", Model: a.model(), Choices: []openai.Choice{choice}, Usage: a.usage(),
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	a.engine.served.Add(1)
	a.engine.cold.answered()
	ctx.SetContentType("application/json")
	if a.fault == FaultCut {
		half := bytes.NewReader(body[:len(body)/2])
		ctx.SetBodyStream(io.MultiReader(half, iotest.ErrReader(errCut)), len(body))
		return
	}
	ctx.SetBody(body)
}

var errCut = errors.New("connection cut on demand")
