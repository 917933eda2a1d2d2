package gateway

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
)

// endless is a body without an end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// TestEndlessBodiesTogetherAreBounded guards against running out of memory where faulty servers
// send endless bodies to many requests at the same time.
func TestEndlessBodiesTogetherAreBounded(t *testing.T) {
	const requests = 400
	var buffers bodyBuffers
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started, release := make(chan struct{}, requests), make(chan struct{})
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			_, _, err := buffers.readWhole(io.MultiReader(io.LimitReader(endless{}, maxWholeBody/2), &blocked{started, release}, endless{}), nil)
			must.True(t, errors.Is(err, errBodyTooLong) || errors.Is(err, errBuffersFull))
			started <- struct{}{}
		})
	}
	for range requests {
		<-started
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	must.Less(t, 2*maxBuffered, int64(after.HeapAlloc)-int64(before.HeapAlloc))
	close(release)
	group.Wait()
	must.Zero(t, buffers.reserved.Load())
}

// blocked is a reader that blocks until it is released, and then ends.
type blocked struct {
	started chan<- struct{}
	release <-chan struct{}
}

func (b *blocked) Read([]byte) (int, error) {
	b.started <- struct{}{}
	<-b.release
	return 0, io.EOF
}

// TestWholeBodies: bodies up to the bound are read whole, and a truncated one is an error at
// any length.
func TestWholeBodies(t *testing.T) {
	for _, size := range []int{0, 1, smallBody - 1, smallBody, smallBody + 1, smallBody + 2, maxWholeBody - 1, maxWholeBody} {
		var buffers bodyBuffers
		content := bytes.Repeat([]byte("b"), size)
		body, release, err := buffers.readWhole(bytes.NewReader(content), nil)
		must.NoError(t, err)
		must.True(t, bytes.Equal(content, bytes.Join(body, nil)), must.Sprint(size))
		release()
		must.Zero(t, buffers.reserved.Load())
		_, _, err = buffers.readWhole(io.MultiReader(bytes.NewReader(content), truncated{}), nil)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.Zero(t, buffers.reserved.Load())
	}
	var buffers bodyBuffers
	_, _, err := buffers.readWhole(bytes.NewReader(make([]byte, maxWholeBody+1)), nil)
	must.ErrorIs(t, err, errBodyTooLong)
}

// truncated is the end of a body that was cut.
type truncated struct{}

func (truncated) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// counted is a source that fails a test if a buffer that it has filled, or is to fill, is not
// accounted for.
type counted struct {
	t      *testing.T
	source io.Reader
	budget *clientmemory.Budget
	// free is how much needs no accounting.
	free, delivered int64
}

func (c *counted) Read(b []byte) (int, error) {
	if held := c.budget.Used() - clientmemory.ConnectionBytes; c.delivered > held+c.free {
		c.t.Errorf("%d bytes were read, and %d are accounted for", c.delivered, held)
	}
	n, err := c.source.Read(b)
	c.delivered += int64(n)
	return n, err
}

// TestResponsesAreCountedBeforeTheyAreRead guards against responses that occupy memory which is
// accounted for only once they are whole.
func TestResponsesAreCountedBeforeTheyAreRead(t *testing.T) {
	const limit = 256 << 10
	free := int64(clientmemory.FirstResponseBytes)
	for _, size := range []int{100, smallBody, 150 << 10, limit} {
		memory, budget := newHolding(t, limit)
		var buffers bodyBuffers
		_, release, err := buffers.readWhole(&counted{t, iotest.HalfReader(bytes.NewReader(make([]byte, size))), budget, free, 0}, memory)
		if size == limit {
			must.ErrorIs(t, err, errBuffersFull)
		} else {
			must.NoError(t, err)
			release()
		}
		must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
		must.Zero(t, buffers.reserved.Load())
	}
	for _, size := range []int{100, 60 << 10, 110 << 10} {
		memory, budget := newHolding(t, limit)
		text := "id: 1\ndata: " + strings.Repeat("x", size) + "\n\n"
		// The read buffer, and the line that it holds, are not part of the event yet.
		events := newEventReader(&counted{t, strings.NewReader(text), budget, free + eventBufferBytes, 0})
		events.memory = memory
		_, err := events.next()
		must.NoError(t, err)
		must.LessEq(t, budget.Used()-clientmemory.ConnectionBytes+free, int64(size))
		events.release()
		must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
	}
}
