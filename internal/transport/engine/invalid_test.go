package engine_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/standin/invalidresponse"
	"medlarslip/internal/transport/engine"
)

// TestInvalidResponseIsNoAnswer guards against an invalid response of an engine that a caller gets as a complete
// answer or stream.
func TestInvalidResponseIsNoAnswer(t *testing.T) {
	answer := fmt.Sprintf(`{"id":"request-1","model":%q,"choices":[{"message":{"content":"a"},"finish_reason":"stop"}]}`, versionID)
	chunk := fmt.Sprintf(`{"id":"request-1","model":%q,"choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}`, versionID)
	calls := []struct {
		name, body string
		call       func(c *engine.Client, call *attempt.EngineCall) error
	}{
		{"whole", answer, func(c *engine.Client, call *attempt.EngineCall) error {
			_, err := c.Complete(t.Context(), call)
			return err
		}},
		{"stream", "id: 1\ndata: " + chunk + "\n\ndata: [DONE]\n\n", func(c *engine.Client, call *attempt.EngineCall) error {
			s, err := c.Open(t.Context(), call, 0)
			if err != nil {
				return err
			}
			_, err = collect(s)
			return err
		}},
	}
	for _, tc := range calls {
		for _, size := range []int{4 << 10, 8 << 20} {
			t.Run(fmt.Sprint(tc.name, size), func(t *testing.T) {
				invalidresponse.Check(t, true, "X-Request-Id: request-1\r\n", tc.body, func(address string) error {
					pool := invalidresponse.NewPool()
					defer pool.Close()
					call := newCall(address)
					call.Body["user"] = json.RawMessage(`"` + strings.Repeat("a", size) + `"`)
					return tc.call(engine.New(pool), call)
				}, func(err error) bool { return errors.Is(err, attempt.ErrBroken) })
			})
		}
	}
}
