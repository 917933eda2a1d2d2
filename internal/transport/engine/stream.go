package engine

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/transport/httpconn"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

const (
	// eventCopies is how often an event is in memory, at most: twice in the buffer that it arrives in, which
	// doubles, and once each as the event, as the data of its chunk and as the decoded text.
	eventCopies = 5
	// smallEventBytes is the size of the first buffer of events. The memory that every request counts with
	// covers events that fit into it.
	smallEventBytes = 4 << 10
)

// countedEvents is a source of events that counts the largest one while it arrives, and until the stream ends,
// since its buffer remains.
type countedEvents struct {
	source io.Reader
	held   *attempt.Held
	// arrived is the number of bytes since the last event, and counted the memory that they count with.
	arrived, counted int64
	// full is true once an event did not fit.
	full bool
}

// Read implements io.Reader.
func (c *countedEvents) Read(b []byte) (int, error) {
	n, err := c.source.Read(b)
	c.arrived += int64(n)
	if more := eventCopies*max(c.arrived-smallEventBytes, 0) - c.counted; more > 0 {
		if full := c.held.Grow(more); full != nil {
			c.full = true
			return 0, full
		}
		c.counted += more
	}
	return n, err
}

// Stream implements attempt.Stream.
type Stream struct {
	*events
	raw  *httpconn.Stream
	resp *fasthttp.Response
	held *attempt.Held
}

// Open requests a streamed answer. If after is positive, it resumes the attempt
// after the event with that number. The error is of one of the kinds of package
// attempt.
func (c *Client) Open(ctx context.Context, call *attempt.EngineCall, after int) (attempt.Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	held := attempt.NewHeld(call.Memory)
	if err := prepare(req, call, true, held); err != nil {
		return nil, err
	}
	if after > 0 {
		req.Header.Set(HeaderLastEventID, strconv.Itoa(after))
	}
	resp := fasthttp.AcquireResponse()
	raw, err := c.pool.Open(ctx, call.Address, req, resp, httpconn.ReuseIdle)
	dropBody(req, held)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, callError(err)
	}
	if err := checkHeader(call, resp); err != nil {
		raw.Close()
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	header := string(resp.Header.Peek(HeaderRequestID))
	return &Stream{events: readEvents(call, header, after, raw, held), raw: raw, resp: resp, held: held}, nil
}

func checkHeader(call *attempt.EngineCall, resp *fasthttp.Response) error {
	if err := statusError(resp); err != nil {
		return err
	}
	header := string(resp.Header.Peek(HeaderRequestID))
	if header != "" && header != call.AttemptID {
		return merry.Prependf(attempt.ErrBroken, "stream belongs to attempt %q", header)
	}
	return nil
}

// Close ends the stream. A stream that was not read to its end is cancelled.
func (s *Stream) Close() {
	s.stop()
	s.raw.Close()
	fasthttp.ReleaseResponse(s.resp)
	s.held.Release()
}

// events reads and checks the events of one stream.
type events struct {
	call *attempt.EngineCall
	// attemptHeader is the attempt ID in the header of the response, or empty.
	attemptHeader string
	source        *countedEvents
	next          func() (sse.Event, error, bool)
	stop          func()
	nextID        int
}

func readEvents(call *attempt.EngineCall, header string, after int, body io.Reader, held *attempt.Held) *events {
	e := &events{call: call, attemptHeader: header, nextID: after + 1, source: &countedEvents{source: body, held: held}}
	e.next, e.stop = iter.Pull2(sse.Read(e.source, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return e
}

// Next returns the next chunk. It returns io.EOF only after the end marker; any
// other error is of the kind attempt.ErrBroken or attempt.ErrMemory.
func (e *events) Next() (*attempt.Chunk, error) {
	event, err, more := e.next()
	e.source.arrived = 0
	switch {
	case err != nil && e.source.full:
		return nil, merry.Prepend(attempt.ErrMemory, err.Error())
	case err != nil:
		return nil, merry.Prepend(attempt.ErrBroken, err.Error())
	case !more:
		return nil, merry.Prepend(attempt.ErrBroken, "stream ended without its end mark")
	}
	if event.Data == openai.DoneMark {
		return nil, e.drain()
	}
	return e.decode(event)
}

// drain reads to the end of the body, so that the connection can be reused.
func (e *events) drain() error {
	if _, err, more := e.next(); err != nil || more {
		return merry.Prepend(attempt.ErrBroken, "stream goes on after its end mark")
	}
	return io.EOF
}

func (e *events) decode(event sse.Event) (*attempt.Chunk, error) {
	chunk := &attempt.Chunk{Data: []byte(event.Data)}
	if err := json.Unmarshal(chunk.Data, &chunk.Parsed); err != nil {
		return nil, merry.Prepend(attempt.ErrBroken, err.Error())
	}
	if err := checkAttempt(e.call, e.attemptHeader, chunk.Parsed.ID); err != nil {
		return nil, err
	}
	if err := checkModel(e.call, chunk.Parsed.Model); err != nil {
		return nil, err
	}
	if event.LastEventID == "" {
		return chunk, nil
	}
	id, err := strconv.Atoi(event.LastEventID)
	if err != nil || id != e.nextID {
		return nil, merry.Prependf(attempt.ErrBroken, "event %q came instead of event %d", event.LastEventID, e.nextID)
	}
	e.nextID++
	return chunk, nil
}

// LastEvent returns the number of the last event, or 0 if the engine does not
// number its events and thus can't resume.
func (e *events) LastEvent() int { return e.nextID - 1 }
