package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
)

// newHolding returns the holding of a connection with a limit, and its budget.
func newHolding(tb testing.TB, limit int64) (*clientmemory.Holding, *clientmemory.Budget) {
	tb.Helper()
	budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{Bytes: limit} }, time.Now)
	h, err := budget.NewGroup(func() int { return 0 }).Open("client", func(clientmemory.Phase) {})
	must.NoError(tb, err)
	return h, budget
}

// A declared length must not occupy memory before its bytes arrive, and the growth of a body
// must not occupy more than one buffer beyond what has arrived.
func TestBodiesOccupyWhatHasArrived(t *testing.T) {
	for _, arrived := range []int{0, 1, firstPiece, firstPiece + 1, pieceBytes, 5*pieceBytes + 1} {
		for _, declared := range []int64{-1, 4 << 20} {
			h, budget := newHolding(t, 0)
			var body pieces
			cut := errors.New("cut")
			source := io.MultiReader(bytes.NewReader(make([]byte, arrived)), iotest.ErrReader(cut))
			must.ErrorIs(t, body.read(source, declared, h), cut)
			held := budget.Used() - clientmemory.ConnectionBytes
			must.Eq(t, body.held, held)
			switch {
			case arrived == 0:
				must.Zero(t, held)
			default:
				must.Less(t, int64(arrived+pieceBytes), held)
			}
			body.release(h, true)
			must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
		}
	}
}

// randomChunks returns a chunked body with random sizes, extensions and trailers. Some of them
// are cut or malformed.
func randomChunks(random *rand.Rand) []byte {
	var b bytes.Buffer
	for range random.IntN(12) {
		size := 1 + random.IntN(1<<random.IntN(16))
		extension := strings.Repeat("e", random.IntN(40))
		if extension != "" {
			extension = ";" + extension
		}
		fmt.Fprintf(&b, "%x%s\r\n", size, extension)
		for range size {
			b.WriteByte(byte(random.IntN(256)))
		}
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n" + strings.Repeat("X-Trailer: t\r\n", random.IntN(3)) + "\r\n")
	raw := b.Bytes()
	switch random.IntN(4) {
	case 0:
		raw = raw[:random.IntN(len(raw))]
	case 1:
		raw[random.IntN(len(raw))] = byte(random.IntN(256))
	}
	return raw
}

// checkChunked compares how a chunked body is read with io.ReadAll. A body that is cut or
// malformed must not look complete, and a limit must hold for any body.
func checkChunked(t *testing.T, raw []byte) {
	t.Helper()
	const limit = 256 << 10
	open := func() io.Reader {
		text := append([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"), raw...)
		r, err := http.ReadRequest(bufio.NewReader(iotest.HalfReader(bytes.NewReader(text))))
		must.NoError(t, err)
		return r.Body
	}
	expected, expectedErr := io.ReadAll(open())
	h, budget := newHolding(t, limit)
	var body pieces
	err := body.read(open(), -1, h)
	must.LessEq(t, int64(limit), budget.Used())
	if errors.Is(err, clientmemory.ErrFull) {
		must.Greater(t, limit-clientmemory.ConnectionBytes-2*pieceBytes, len(expected))
	} else {
		must.Eq(t, expectedErr == nil, err == nil)
		must.True(t, bytes.Equal(expected, bytes.Join(body.list, nil)))
		must.Eq(t, int64(len(expected)), body.size)
	}
	body.release(h, true)
	must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
}

// Random chunked bodies must be read as checkChunked requires, whatever sizes their chunks have.
func TestChunkedBodies(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	for range 1000 {
		checkChunked(t, randomChunks(random))
	}
}

func FuzzChunkedBody(f *testing.F) {
	random := rand.New(rand.NewPCG(5, 2))
	for range 20 {
		f.Add(randomChunks(random))
	}
	f.Fuzz(checkChunked)
}
