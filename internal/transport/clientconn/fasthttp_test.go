package clientconn

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/bodybuffer"
)

// A body must arrive whole, or fail, and what it occupies must not depend on the length that is
// declared.
func TestBodiesAreReadWithinTheLimit(t *testing.T) {
	const limit = 128 << 10
	random := rand.New(rand.NewPCG(5, 3))
	for _, size := range []int{0, 1, 511, 512, 513, 2048, 2049, 4096, 5000, limit - 1, limit, limit + 1} {
		content := make([]byte, size)
		for i := range content {
			content[i] = byte(random.IntN(256))
		}
		for _, declared := range []int{-1, size} {
			budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{} }, time.Now)
			h, err := budget.NewGroup(func() int { return 0 }).Open("client", func(clientmemory.Phase) {})
			must.NoError(t, err)
			body, err := readBody(iotest.HalfReader(bytes.NewReader(content)), declared, limit, h)
			if size > limit {
				must.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
				continue
			}
			must.NoError(t, err)
			must.True(t, bytes.Equal(content, body), must.Sprint(size))
			must.LessEq(t, int64(clientmemory.ConnectionBytes+3*size+bodybuffer.MinBytes), budget.Used())

			cut := errors.New("cut")
			_, err = readBody(io.MultiReader(bytes.NewReader(content[:size/2]), iotest.ErrReader(cut)), declared, limit, h)
			must.ErrorIs(t, err, cut)
		}
	}
	budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{Bytes: 64 << 10} }, time.Now)
	h, err := budget.NewGroup(func() int { return 0 }).Open("client", func(clientmemory.Phase) {})
	must.NoError(t, err)
	_, err = readBody(iotest.ErrReader(io.ErrUnexpectedEOF), limit, limit, h)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
	_, err = readBody(bytes.NewReader(make([]byte, limit)), -1, limit, h)
	must.ErrorIs(t, err, clientmemory.ErrFull)
	must.LessEq(t, int64(64<<10), budget.Used())
}
