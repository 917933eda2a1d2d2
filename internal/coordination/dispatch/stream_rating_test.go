package dispatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/protocol/platform"
)

// ratingRecorder answers each rating and passes its request on.
type ratingRecorder chan platform.RatingRequest

func (b ratingRecorder) Rate(_ context.Context, request *platform.RatingRequest) (*platform.Rating, error) {
	b <- *request
	return &platform.Rating{Score: 0.9}, nil
}

// TestStreamIsRatedAfterItsEnd lets the cascade learn where all is streamed.
func TestStreamIsRatedAfterItsEnd(t *testing.T) {
	b := newStreamFixture(t, 1, true)
	book := make(ratingRecorder, 1)
	b.router.Rater, b.router.Acceptance = book, cascade.NewLearner()
	call := b.call()
	call.RequestID = sampledID("sampled")
	stream, refused := b.router.Stream(context.Background(), call)
	must.Nil(t, refused)
	got := receive(stream)
	must.ErrorIs(t, got.err, io.EOF)
	select {
	case request := <-book:
		must.Eq(t, got.text, request.Answer)
	case <-time.After(10 * time.Second):
		t.Fatal("the stream was not rated")
	}
}
