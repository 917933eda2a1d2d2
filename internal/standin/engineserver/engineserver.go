// Package engineserver is a stand-in for an OpenAI-compatible model engine:
// answers made from the prompt, faults on demand, and load in the Prometheus
// text format.
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

// Fault is what goes wrong with one answer.
type Fault string

// The faults that an engine can be told to show.
const (
	FaultNone      Fault = ""
	FaultCut       Fault = "cut"        // closes the connection mid-answer
	FaultNoEnd     Fault = "no_end"     // ends a stream without its end mark
	FaultGarbage   Fault = "garbage"    // sends what is no JSON
	FaultCrossed   Fault = "crossed"    // answers with another request's ID
	FaultVersion   Fault = "version"    // answers by another version
	FaultRefuse    Fault = "refuse"     // answers 503
	FaultError     Fault = "error"      // answers 500
	FaultSlow      Fault = "slow"       // waits SlowBy before the answer
	FaultGap       Fault = "gap"        // leaves out one event of a stream
	FaultRepeat    Fault = "repeat"     // sends one event of a stream twice
	FaultNoFinish  Fault = "no_finish"  // leaves out the finish reason
	FaultEmptyBody Fault = "empty_body" // answers 200 without a body
)

// Config says how an engine behaves.
type Config struct {
	// Versions lists what the engine serves.
	Versions []string
	// Tokens is the number of tokens of an answer.
	Tokens int
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// MaxRunning is the number of requests that run at once.
	MaxRunning int
	// SlowBy is the wait of FaultSlow.
	SlowBy time.Duration
	// Resumable engines number their events and resume after one.
	Resumable bool
	// ColdLimit is how many requests a cold engine bears at once; under more
	// it answers 500 and starts again. 0 means any number.
	ColdLimit int
	// ColdAnswers is the number of good answers after which it is warm.
	ColdAnswers int
}

// Engine is one model engine.
type Engine struct {
	config  Config
	running atomic.Int64
	served  atomic.Int64
	cold    *coldState

	mu     sync.Mutex
	faults func(request *openai.ChatRequest, attempt string) Fault
	peak   int64
	// calls lists the attempts in the order in which they came.
	calls []ReceivedRequest
	// dropCalls leaves calls empty.
	dropCalls bool
}

// ReceivedRequest is one request as the engine received it.
type ReceivedRequest struct {
	Attempt  string
	Model    string
	After    int
	Messages []openai.Message
}

// New returns an engine without faults.
func New(config Config) *Engine { return &Engine{config: config, cold: newColdness(&config)} }

// OnRequest sets the function that chooses the fault of each request.
func (e *Engine) OnRequest(fault func(request *openai.ChatRequest, attempt string) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = fault
}

// Calls returns the requests that the engine received.
func (e *Engine) Calls() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.calls...)
}

// DropCalls stops the engine from keeping the requests that it receives.
func (e *Engine) DropCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropCalls = true
}

// Peak returns the highest number of requests that ran at once.
func (e *Engine) Peak() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak
}

// Handle is the fasthttp handler of the engine.
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

// answer is one answer in the making.
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

// tokens returns the words of the answer. They follow from version and prompt
// alone, so that a test can tell whether an answer is whole.
func (a *answer) tokens() []string {
	all := Tokens(a.request.Model, a.engine.config.Tokens)
	return all[min(len(all), a.alreadySent()):]
}

// alreadySent counts the tokens of the answer that the request already holds: those
// before the event to resume after, or those of an unfinished last message.
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

// Tokens returns the tokens that an engine answers with.
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
