package clientlimits_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/standin/loopback"
)

// largeEvent is the size of a large event of a stream; the largest one that is read has 1 MiB.
const largeEvent = 900 << 10

// Prompts that make the engine of startStreams behave differently.
const (
	// promptEvent asks for one large event, and promptUnfinished for one that does not end.
	promptEvent      = "event large"
	promptUnfinished = "event without end"
	// promptText asks for a long text in small events, after which the stream does not end.
	promptText = "long text"
	// promptNothing asks for no answer at all.
	promptNothing = "no answer"
)

// startStreams starts a fleet whose engine streams what a request asks for.
func startStreams(t *testing.T) *localfleet.Fleet {
	t.Helper()
	end := make(chan struct{})
	fleet := localfleet.NewWithEngine(t, nil)
	prompts := []string{promptEvent, promptUnfinished, promptText, promptNothing}
	answer := answerPrompts(prompts, func(ctx *fasthttp.RequestCtx, prompt, version string) {
		id := ctx.Request.Header.Peek("X-Request-Id")
		event := func(size int, finish string) string {
			return fmt.Sprintf("data: {\"id\":\"chatcmpl-%s\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":%s}]}\n\n", id, version, strings.Repeat("e", size), finish)
		}
		text := ""
		switch prompt {
		case promptEvent:
			ctx.SetContentType("text/event-stream")
			ctx.SetBodyStream(strings.NewReader(event(largeEvent, `"stop"`)+"data: [DONE]\n\n"), -1)
			return
		case promptUnfinished:
			whole := event(largeEvent, `"stop"`)
			text = event(1, "null") + whole[:len(whole)-2]
		case promptText:
			text = strings.Repeat(event(1<<10, "null"), largeAnswer>>10)
		case promptNothing:
			<-end
			return
		}
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStream(&unfinished{rest: bytes.NewReader([]byte(text)), end: end}, -1)
	})
	fleet.AddBackend("engine-1", platform.RoleEngine, loopback.Serve(t, answer), "small-1", "large-1")
	t.Cleanup(func() { close(end) })
	return fleet
}

func streamRequest(prompt string) string {
	return chatText(strings.Replace(localfleet.ChatBody(true), "hello", prompt, 1))
}

// unreadStream requests a stream, and reads nothing.
func unreadStream(prompt string) client {
	return func(conn net.Conn) { write(conn, streamRequest(prompt)) }
}

// readStream requests a stream, and reads it until its connection ends.
func readStream(prompt string) client {
	return func(conn net.Conn) {
		write(conn, streamRequest(prompt))
		_, _ = io.Copy(io.Discard, conn)
	}
}

// Events of streams must count, whether they arrive completely or not, and whether their callers take them or not.
func TestEntryEventsOfStreams(t *testing.T) {
	checkCases(t, entryBefore(startStreams), frontOf, []clientCase{
		{"unfinished events", answerClients, []client{unreadStream(promptUnfinished)}},
		{"large events, not read", answerClients, []client{unreadStream(promptEvent)}},
		{"long texts", answerClients, []client{readStream(promptText)}},
	})
}

// Requests whose engine does not answer must count with all copies of their bodies.
func TestEntryCopiesOfBodies(t *testing.T) {
	body := func(stream string) []client {
		return []client{wholeBody(`{"model":"draft","stream":`+stream+`,"messages":[{"role":"user","content":"`+promptNothing, "m", `"}]}`)}
	}
	checkCases(t, entryBefore(startStreams), frontOf, []clientCase{
		{"whole", bodyClients, body("false")},
		{"stream", bodyClients, body("true")},
	})
}

// A single stream with a large event must be served.
func TestEntryLargeEventWithoutOtherClients(t *testing.T) {
	checkServedAlone(t, startStreams, "a large event is not served", func(i *instance) bool {
		conn, err := net.Dial("tcp4", i.front)
		must.NoError(t, err)
		defer func() { _ = conn.Close() }()
		write(conn, streamRequest(promptEvent))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false
		}
		content, err := io.ReadAll(response.Body)
		return err == nil && len(content) > largeEvent && bytes.HasSuffix(content, []byte("data: [DONE]\n\n"))
	})
}
