package dispatch

import (
	"encoding/json"
	"errors"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/protocol/openai"
)

// recover goes on with a broken answer: on the same server behind the last
// event where the engine numbers its events, or on another server of the same
// version from the text that the caller has. It returns the error that the
// stream ends with where neither succeeds.
func (s *ChatStream) recover(err error) error {
	if s.ctx.Err() == nil && s.resume() {
		return nil
	}
	s.giveUpServer(err)
	for s.ctx.Err() == nil && !s.notContinuable && !s.finished && s.tries < maxAttempts {
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

func (s *ChatStream) regenerate() error {
	body, err := continuation(s.call, s.text.String())
	if err != nil {
		return attempt.ErrRejected
	}
	s.continued = true
	return s.connect(body)
}

// continuation returns the request for the rest of an answer: the messages
// with the part that the caller has as an unfinished last message, in the
// fields that engines publish for it.
func continuation(call *ChatCall, text string) (map[string]json.RawMessage, error) {
	var messages []json.RawMessage
	if err := json.Unmarshal(call.Body["messages"], &messages); err != nil {
		return nil, err
	}
	partial, err := json.Marshal(openai.AnswerMessage{Role: "assistant", Content: text})
	if err != nil {
		return nil, err
	}
	all, err := json.Marshal(append(messages, partial))
	if err != nil {
		return nil, err
	}
	body := make(map[string]json.RawMessage, len(call.Body)+3)
	for key, value := range call.Body {
		body[key] = value
	}
	body["messages"] = all
	body["continue_final_message"] = json.RawMessage("true")
	body["add_generation_prompt"] = json.RawMessage("false")
	return body, nil
}
