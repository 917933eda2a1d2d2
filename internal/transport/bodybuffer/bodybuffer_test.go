package bodybuffer_test

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/standin/memorymeter"
	"medlarslip/internal/transport/bodybuffer"
)

// What a body occupies must count, must follow what has arrived, and must not be much more than the body where its
// length is known, since otherwise one large answer would not fit although nothing else is held.
func TestBodiesCountAsTheyArrive(t *testing.T) {
	for _, size := range []int{0, 1, 512, 513, 2048, 2049, 8191, 8192, 8193, 1 << 20, 1<<20 + 1} {
		content := bytes.Repeat([]byte("c"), size)
		for _, length := range []int{-1, size} {
			m := &memorymeter.Meter{Limit: 1 << 40}
			body, err := bodybuffer.Read(iotest.HalfReader(bytes.NewReader(content)), length, size, m)
			must.NoError(t, err)
			must.True(t, bytes.Equal(content, body))
			must.Eq(t, int64(cap(body)), m.Held)
			if length > bodybuffer.MinBytes {
				must.Eq(t, int64(size), m.Held)
				must.LessEq(t, int64(size+size/4+1), m.Peak)
			}
			arrived := &memorymeter.Meter{Limit: 1 << 40}
			_, err = bodybuffer.Read(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(content))), length, size, arrived)
			if size > 1 {
				must.ErrorIs(t, err, iotest.ErrTimeout)
				must.Less(t, int64(4*bodybuffer.MinBytes), arrived.Peak)
			}
		}
	}
	_, err := bodybuffer.Read(bytes.NewReader(make([]byte, 100_000)), 100_000, 100_000, &memorymeter.Meter{Limit: 50_000})
	must.ErrorIs(t, err, bodybuffer.ErrMemory)
	must.ErrorIs(t, err, memorymeter.ErrFull)
	_, err = bodybuffer.Read(bytes.NewReader(make([]byte, 101)), -1, 100, &memorymeter.Meter{Limit: 1 << 40})
	must.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
}
