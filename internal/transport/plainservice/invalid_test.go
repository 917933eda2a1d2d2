package plainservice_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/standin/invalidresponse"
	"medlarslip/internal/transport/plainservice"
)

// TestInvalidResponseIsNoAnswer guards against an invalid response of a service that a caller gets as the answer.
func TestInvalidResponseIsNoAnswer(t *testing.T) {
	for _, size := range []int{4 << 10, 8 << 20} {
		for _, key := range []string{"", "key"} {
			invalidresponse.Check(t, true, "X-Request-Id: one\r\n", "answer", func(address string) error {
				pool := invalidresponse.NewPool()
				defer pool.Close()
				call := &attempt.ServiceCall{Method: http.MethodPost, Address: address, Path: "/", RequestID: "one", IdempotencyKey: key, Body: make([]byte, size)}
				answer, err := plainservice.New(pool).Do(t.Context(), call)
				must.Eq(t, err != nil, answer == nil)
				return err
			}, func(err error) bool { return errors.Is(err, attempt.ErrNoAnswer) })
		}
	}
}
