package dispatch

import (
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
)

// recover continues an interrupted answer. If the engine numbers its events, it
// first resumes on the same server after the last event. If that is not
// possible, another server of the same version continues from the text that the
// caller has received. It returns err if neither succeeds, or if the fault is a lack
// of memory here.
func (s *ChatStream) recover(err error) error {
	if errors.Is(err, attempt.ErrMemory) {
		return err
	}
	if s.ctx.Err() == nil && s.resume() {
		return nil
	}
	s.giveUpServer(err)
	for s.ctx.Err() == nil && !s.notContinuable && !s.finished && !s.run.noMemory && s.tries < maxAttempts {
		regenerateErr := s.regenerate()
		if regenerateErr == nil {
			return nil
		}
		if errors.Is(regenerateErr, attempt.ErrNoServer) {
			break
		}
		s.giveUpServer(regenerateErr)
	}
	return err
}

func (s *ChatStream) resume() bool {
	after := s.stream.LastEvent()
	if after == 0 || s.tries >= maxAttempts {
		return false
	}
	s.tries++
	stream, err := s.router.Engines.Open(s.ctx, s.engine, after)
	if err != nil {
		return false
	}
	s.stream.Close()
	s.stream = stream
	return true
}

// regenerate lets another engine write the rest of the answer. Its request has the text that the caller has
// received as an unfinished last message, with the fields that engines document for this purpose.
func (s *ChatStream) regenerate() error {
	text := s.text.String()
	if err := s.heldText.Grow(int64(len(text))); err != nil {
		return merry.Prepend(attempt.ErrBodyMemory, err.Error())
	}
	partial, err := json.Marshal(openai.AnswerMessage{Role: "assistant", Content: text})
	if err != nil {
		return attempt.ErrRejected
	}
	body := make(map[string]json.RawMessage, len(s.call.Body)+2)
	for key, value := range s.call.Body {
		body[key] = value
	}
	body["continue_final_message"] = json.RawMessage("true")
	body["add_generation_prompt"] = json.RawMessage("false")
	s.continued = true
	return s.connect(body, partial)
}
