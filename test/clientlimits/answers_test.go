package clientlimits_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/loopback"
)

// largeAnswer is the size in bytes of a large answer of an engine.
const largeAnswer = 1 << 20

// Prompts that make the engine of startFleet give a large answer.
const (
	// promptWhole asks for a whole answer.
	promptWhole = "answer whole"
	// promptDeclared asks for an answer that declares its length, and promptChunked for one in chunks; the last
	// byte of both never arrives.
	promptDeclared = "answer with a length"
	promptChunked  = "answer in chunks"
)

// unfinished is a body that does not end before a test does.
type unfinished struct {
	rest *bytes.Reader
	end  <-chan struct{}
}

// Read implements io.Reader.
func (u *unfinished) Read(b []byte) (int, error) {
	if u.rest.Len() == 0 {
		<-u.end
		return 0, io.ErrUnexpectedEOF
	}
	return u.rest.Read(b)
}

// reachedRequests records the numbers of the requests that reach a server. It is safe for concurrent use.
type reachedRequests struct {
	mu      sync.Mutex
	numbers map[int]bool
}

// requestNumber returns the text that numbers a request in its prompt.
func requestNumber(n int) string { return fmt.Sprintf(", request %d", n) }

var numberOfRequest = regexp.MustCompile(`, request (\d+)`)

// record records the request with a body, if it has a number.
func (r *reachedRequests) record(body []byte) {
	found := numberOfRequest.FindSubmatch(body)
	if found == nil {
		return
	}
	n, _ := strconv.Atoi(string(found[1]))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.numbers[n] = true
}

func (r *reachedRequests) has(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.numbers[n]
}

func (r *reachedRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.numbers)
}

// startFleet starts a fleet whose engine and service give large answers where a request asks for them.
func startFleet(t *testing.T) *localfleet.Fleet {
	t.Helper()
	fleet, _ := startRecordingFleet(t)
	return fleet
}

// startRecordingFleet is startFleet, and records which numbered requests reach its servers.
func startRecordingFleet(t *testing.T) (*localfleet.Fleet, *reachedRequests) {
	t.Helper()
	reached := &reachedRequests{numbers: map[int]bool{}}
	end := make(chan struct{})
	fleet := localfleet.NewWithEngine(t, nil)
	large := answerPrompts([]string{promptWhole, promptDeclared, promptChunked}, func(ctx *fasthttp.RequestCtx, prompt, version string) {
		ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
		whole := fmt.Sprintf(`{"id":"a","model":%q,"choices":[{"finish_reason":"stop","message":{"content":"%s"}}]}`, version, strings.Repeat("w", largeAnswer))
		if prompt == promptWhole {
			ctx.SetBodyString(whole)
			return
		}
		size := -1
		if prompt == promptDeclared {
			size = len(whole)
		}
		ctx.SetBodyStream(&unfinished{rest: bytes.NewReader([]byte(whole[:len(whole)-1])), end: end}, size)
	})
	answer := func(ctx *fasthttp.RequestCtx) {
		reached.record(ctx.PostBody())
		large(ctx)
	}
	fleet.AddBackend("engine-1", platform.RoleEngine, loopback.Serve(t, answer), "small-1", "large-1")
	fleet.AddBackend("archive-1", platform.RoleService, loopback.Serve(t, answer), "archive")
	document := strings.ReplaceAll(localfleet.Document, "allowed_services: [ledger]", "allowed_services: [ledger, archive]")
	fleet.Publish(strings.ReplaceAll(document, "plain_services:\n", "plain_services:\n  - {name: archive, timeout_ms: 10000, non_idempotent: [], status_path: \"\"}\n"))
	t.Cleanup(func() { close(end) })
	return fleet, reached
}

// answerPrompts returns the handler of a server that passes the requests that contain one of the prompts to answer,
// with the version of the model that they name. The other requests get the short answers of an engine.
func answerPrompts(prompts []string, answer func(ctx *fasthttp.RequestCtx, prompt, version string)) fasthttp.RequestHandler {
	small := engineserver.New(engineserver.Config{Tokens: localfleet.AnswerTokens, MaxRunning: 1000, Resumable: true})
	return func(ctx *fasthttp.RequestCtx) {
		body, query := ctx.PostBody(), ctx.URI().QueryString()
		requested := ""
		for _, prompt := range prompts {
			if bytes.Contains(body, []byte(prompt)) || bytes.Contains(query, []byte(strings.ReplaceAll(prompt, " ", "+"))) {
				requested = prompt
			}
		}
		if requested == "" {
			small.Handle(ctx)
			return
		}
		version := "small-1"
		if bytes.Contains(body, []byte("large-1")) {
			version = "large-1"
		}
		answer(ctx, requested, version)
	}
}

// chatText returns a chat request with a body.
func chatText(body string) string {
	return entryPost + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// chat sends a chat request, and reads nothing.
func chat(prompt string) client {
	text := chatText(localfleet.PromptBody(prompt))
	return func(conn net.Conn) { write(conn, text) }
}

// serviceRead sends a read of the plain service, and reads nothing.
func serviceRead(prompt string) client {
	text := "GET /v1/services/archive/large?" + strings.ReplaceAll(prompt, " ", "+") + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + localfleet.APIKey + "\r\n\r\n"
	return func(conn net.Conn) { write(conn, text) }
}

// entryBefore returns a function that starts medlarslip-entry before a fleet.
func entryBefore(startFleet func(*testing.T) *localfleet.Fleet) func(*testing.T) *instance {
	return func(t *testing.T) *instance {
		t.Helper()
		return startEntryBefore(t, startFleet(t), memoryMB, nil)
	}
}

// checkServedAlone starts medlarslip-entry before a fleet, waits until a request without other clients is served, and
// checks that ordinary requests are, too.
func checkServedAlone(t *testing.T, startFleet func(*testing.T) *localfleet.Fleet, problem string, served func(i *instance) bool) {
	t.Helper()
	i := entryBefore(startFleet)(t)
	i.eventually(t, problem, func() bool { return served(i) })
	i.checkServes(t)
}

// Answers of servers must count as they arrive: many large ones that are not complete yet must not exhaust memory.
func TestEntryAnswersThatArrive(t *testing.T) {
	checkCases(t, entryBefore(startFleet), frontOf, []clientCase{
		{"declared length", answerClients, []client{chat(promptDeclared)}},
		{"chunks", answerClients, []client{chat(promptChunked)}},
		{"service", answerClients, []client{serviceRead(promptDeclared)}},
		{"whole, not read", answerClients, []client{chat(promptWhole)}},
	})
}

// answerClients is the number of clients whose requests have large answers: without a bound, these would be twice the
// memory of the machine.
const answerClients = 2 * memoryMB

// A request whose answer does not fit has run: its caller must get 502, and not a status that permits to repeat it. A
// request whose own body does not fit is refused with 429, which must not be said of one that has reached the engine.
func TestEntryAnswerThatDoesNotFit(t *testing.T) {
	fleet, reached := startRecordingFleet(t)
	i := startEntryBefore(t, fleet, memoryMB, nil)
	// 0 stands for a request that was not answered.
	var statuses [answerClients]int
	connectClients(t, i.front, answerClients, func(n int) client {
		text := chatText(localfleet.PromptBody(promptDeclared + requestNumber(n)))
		return func(conn net.Conn) {
			write(conn, text)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			statuses[n] = response.StatusCode
			if response.StatusCode != http.StatusBadGateway {
				text, _ := io.ReadAll(response.Body)
				t.Logf("request %d was answered with status %d: %s", n, response.StatusCode, text)
			}
		}
	})
	// A request that is sent to the engine after its caller was answered is recorded by then.
	i.checkServes(t)
	counts := map[int]int{}
	for n, status := range statuses {
		counts[status]++
		switch status {
		case 0, http.StatusBadGateway:
		case http.StatusTooManyRequests:
			must.False(t, reached.has(n), must.Sprintf("request %d reached the engine, and its caller got 429", n))
		default:
			t.Errorf("request %d was answered with status %d", n, status)
		}
	}
	t.Logf("answers by status, 0 without one: %v; %d requests reached the engine", counts, reached.count())
	must.Positive(t, counts[http.StatusBadGateway])
	must.Positive(t, reached.count())
}

// A single large answer must be served.
func TestEntryLargeAnswerWithoutOtherClients(t *testing.T) {
	checkServedAlone(t, startFleet, "a large answer is not served", func(i *instance) bool {
		status, size := entryAnswer("http://"+i.front, localfleet.PromptBody(promptWhole))
		return status == http.StatusOK && size > largeAnswer
	})
}
