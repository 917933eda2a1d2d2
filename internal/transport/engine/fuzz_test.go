package engine

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/attempt"
)

func fuzzCall() *attempt.EngineCall {
	return &attempt.EngineCall{VersionID: "small-1", AttemptID: "a1"}
}

// FuzzEvents checks that a stream ends without an error only after its end
// marker, and that every chunk belongs to the attempt and version of the call.
func FuzzEvents(f *testing.F) {
	const chunk = `data: {"id":"chatcmpl-a1","model":"small-1","choices":[{"index":0,"delta":{"content":"x"}}]}` + "\n\n"
	f.Add([]byte(chunk + "data: [DONE]\n\n"))
	f.Add([]byte("id: 1\n" + chunk + "id: 3\n" + chunk))
	f.Add([]byte("data: [DONE]\n\n" + chunk))
	f.Add([]byte(":\n\ndata\n\ndata: null\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		e := readEvents(fuzzCall(), "", 0, bytes.NewReader(body), attempt.NewHeld(nil))
		defer e.stop()
		for {
			part, err := e.Next()
			if errors.Is(err, io.EOF) {
				must.True(t, bytes.Contains(body, []byte("[DONE]")))
				return
			}
			if err != nil {
				must.ErrorIs(t, err, attempt.ErrBroken)
				return
			}
			must.Eq(t, "small-1", part.Parsed.Model)
			must.StrHasSuffix(t, "a1", part.Parsed.ID)
		}
	})
}

// FuzzWhole checks that an answer is accepted only if it has the requested
// version, a choice and a finish reason.
func FuzzWhole(f *testing.F) {
	f.Add([]byte(`{"id":"chatcmpl-a1","model":"small-1","choices":[{"message":{"content":"x"},"finish_reason":"stop"}]}`))
	f.Add([]byte(`{"id":"a1","model":"small-1","choices":[]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		answer, err := decodeAnswer(fuzzCall(), "", body)
		if err != nil {
			must.ErrorIs(t, err, attempt.ErrBroken)
			return
		}
		must.Eq(t, "small-1", answer.Parsed.Model)
		must.Positive(t, len(answer.Parsed.Choices))
		must.NotEq(t, "", answer.Parsed.Choices[0].FinishReason)
	})
}
