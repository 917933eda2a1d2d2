package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"strings"
	"time"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
	"medlarslip/internal/protocol/refusal"
)

// textsDropped counts the streams whose text was not kept for lack of memory.
var textsDropped = expvar.NewInt("stream_texts_dropped")

// ChatStream is a streamed answer whose first chunk has arrived. It belongs to
// one goroutine, which must call Close.
type ChatStream struct {
	VersionID    string
	SessionToken string

	router *Router
	run    *run
	call   *ChatCall
	step   cascade.Step
	// plan is the plan of the request, and stepIndex the index of step in it.
	plan      *cascade.Plan
	stepIndex int
	ctx       context.Context
	caller    context.Context
	cancel    context.CancelFunc

	server  *serverCall
	stream  attempt.Stream
	engine  *attempt.EngineCall
	tries   int
	exclude []string

	pending *attempt.Chunk
	// id is the ID of the answer that is sent to the caller.
	id []byte
	// text is the text that was sent to the caller so far.
	text strings.Builder
	// heldText is the memory of text.
	heldText  *attempt.Held
	chunks    int64
	usage     *openai.Usage
	continued bool
	// notContinuable is true once the answer holds more than the text of one
	// choice, so that another engine can't continue it.
	notContinuable bool
	finished       bool
	closed         bool
}

// Stream opens a streamed answer. Until its first chunk has arrived, other
// servers and steps are tried; from then on the version is fixed.
func (r *Router) Stream(ctx context.Context, call *ChatCall) (*ChatStream, *refusal.Refusal) {
	u := r.newChatRun(call)
	plan, token, refused := r.plan(u, call)
	if refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	if refused := r.admit(ctx, u, call.Kind.Priority, plan.ExpectedDuration(0)); refused != nil {
		return nil, u.refuse(ctx, refused)
	}
	for i, step := range plan.Steps {
		s, refused := r.openStream(ctx, u, call, token, step)
		if refused == nil {
			s.plan, s.stepIndex = plan, i
		}
		if refused == nil {
			return s, nil
		}
		if i == len(plan.Steps)-1 || u.noMemory {
			return nil, u.refuse(ctx, refused)
		}
	}
	return nil, u.refuse(ctx, refusal.New(refusal.KindInternal, "the plan has no step", "report this to the operators"))
}

func (r *Router) openStream(ctx context.Context, u *run, call *ChatCall, token session.Token, step cascade.Step) (*ChatStream, *refusal.Refusal) {
	text, err := r.Sessions.Sign(withVersion(token, step))
	if err != nil {
		return nil, refusal.New(refusal.KindInternal, err.Error(), "report this to the operators")
	}
	s := &ChatStream{VersionID: step.VersionID, SessionToken: text, router: r, run: u, call: call, step: step, caller: ctx, heldText: attempt.NewHeld(call.Memory)}
	s.ctx, s.cancel = context.WithTimeout(ctx, time.Duration(call.Kind.TotalMillis)*time.Millisecond)
	if err := s.openFirst(); err != nil {
		refused := stepRefusal(s.ctx, step.VersionID, err)
		s.release()
		return nil, refused
	}
	return s, nil
}

// openFirst opens the stream on one server after another until a first chunk has
// arrived. The error is of one of the kinds of package attempt.
func (s *ChatStream) openFirst() error {
	wait := time.Duration(s.call.Kind.FirstTokenMillis) * time.Millisecond
	timer := time.AfterFunc(wait, s.cancel)
	defer timer.Stop()
	lastErr := attempt.ErrNoServer
	for s.tries < maxAttempts && s.ctx.Err() == nil && !s.run.noMemory {
		err := s.connect(s.call.Body, nil)
		if errors.Is(err, attempt.ErrNoServer) {
			break
		}
		if err == nil {
			s.pending, err = s.stream.Next()
		}
		if err == nil {
			s.id = []byte(s.pending.Parsed.ID)
			return nil
		}
		lastErr = err
		s.giveUpServer(err)
	}
	return lastErr
}

// connect opens the stream on a server that is not excluded for this request. The
// unfinished message, if any, follows the messages of the body.
func (s *ChatStream) connect(body map[string]json.RawMessage, unfinished json.RawMessage) error {
	if !s.router.mayTry(s.step.VersionID, s.tries) {
		return attempt.ErrNoServer
	}
	s.server = s.router.acquire(s.ctx, s.run, s.step.VersionID, s.exclude)
	if s.server == nil {
		return attempt.ErrNoServer
	}
	s.tries++
	s.engine = newEngineCall(s.call, s.step.VersionID, s.server.address, s.tries)
	s.engine.Body, s.engine.Unfinished = body, unfinished
	stream, err := s.router.Engines.Open(s.ctx, s.engine, 0)
	if err != nil {
		return err
	}
	s.stream = stream
	return nil
}

// giveUpServer ends the call on the server and excludes it from further attempts
// of this request.
func (s *ChatStream) giveUpServer(err error) {
	s.run.recordFailure(err)
	s.run.recordResult(resultOf(err))
	if s.server == nil {
		return
	}
	s.exclude = append(s.exclude, s.server.id)
	s.closeStream()
	s.router.settle(s.server, callResult(s.caller, err))
	s.server = nil
}

func (s *ChatStream) closeStream() {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
}

// Next returns the JSON text of the next chunk. The error is io.EOF only at the
// end of a complete answer; any other error is a *refusal.Refusal.
func (s *ChatStream) Next() ([]byte, error) {
	for {
		chunk, err := s.nextChunk()
		if errors.Is(err, io.EOF) {
			return nil, s.end()
		}
		if err != nil {
			if err := s.recover(err); err != nil {
				return nil, s.fail(err)
			}
			continue
		}
		if s.repeatsRole(chunk) {
			continue
		}
		s.record(chunk)
		if s.unrequestedUsage(chunk) {
			continue
		}
		return s.withID(chunk), nil
	}
}

func (s *ChatStream) nextChunk() (*attempt.Chunk, error) {
	if chunk := s.pending; chunk != nil {
		s.pending = nil
		return chunk, nil
	}
	return s.stream.Next()
}

// end handles the end mark of the stream, which is valid only after a finish
// reason.
func (s *ChatStream) end() error {
	if !s.finished {
		return s.fail(attempt.ErrBroken)
	}
	s.router.release(s.server, true)
	s.server = nil
	s.run.recordResult(outcomeAnswered)
	s.recordStep(stepAccepted)
	s.router.rateStream(s)
	s.run.finish(s.caller, outcomeAnswered, "")
	s.closed = true
	return io.EOF
}

// record updates the state of the answer with a chunk that is sent to the caller.
func (s *ChatStream) record(chunk *attempt.Chunk) {
	s.chunks++
	if chunk.Parsed.Usage != nil {
		s.usage = chunk.Parsed.Usage
	}
	for _, choice := range chunk.Parsed.Choices {
		s.keepText(choice.Delta.Content)
		s.notContinuable = s.notContinuable || choice.Index > 0 || len(choice.Delta.ToolCalls) > 0
		s.finished = s.finished || choice.FinishReason != nil
	}
}

// textCopies is the memory of the text of a stream as a multiple of its length, since its buffer doubles.
const textCopies = 2

// keepText keeps a text that was sent to the caller. Where there is no memory for it, the stream goes on without:
// it is then neither continued by another engine nor rated.
func (s *ChatStream) keepText(text string) {
	if s.heldText == nil {
		return
	}
	if err := s.heldText.Grow(int64(textCopies * len(text))); err != nil {
		textsDropped.Add(1)
		s.notContinuable = true
		s.text = strings.Builder{}
		s.heldText.Release()
		s.heldText = nil
		return
	}
	s.text.WriteString(text)
}

// repeatsRole reports whether a chunk only repeats the start of a message, in an
// answer that another engine continues.
func (s *ChatStream) repeatsRole(chunk *attempt.Chunk) bool {
	if !s.continued || chunk.Parsed.Usage != nil || len(chunk.Parsed.Choices) != 1 {
		return false
	}
	choice := chunk.Parsed.Choices[0]
	return choice.Delta.Content == "" && choice.FinishReason == nil && len(choice.Delta.ToolCalls) == 0
}

// unrequestedUsage reports whether a chunk holds only the usage and the caller
// did not request it. The usage is requested from every engine, but callers that
// did not request it may rely on a choice in every chunk.
func (s *ChatStream) unrequestedUsage(chunk *attempt.Chunk) bool {
	if chunk.Parsed.Usage == nil || len(chunk.Parsed.Choices) > 0 {
		return false
	}
	var options openai.StreamOptions
	if raw, ok := s.call.Body["stream_options"]; ok {
		_ = json.Unmarshal(raw, &options) // a malformed field asks for nothing
	}
	return !options.IncludeUsage
}

// withID returns the text of a chunk with the ID that the caller has received
// before.
func (s *ChatStream) withID(chunk *attempt.Chunk) []byte {
	if string(s.id) == chunk.Parsed.ID {
		return chunk.Data
	}
	return bytes.Replace(chunk.Data, []byte(chunk.Parsed.ID), s.id, 1)
}
