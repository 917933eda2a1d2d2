package gateway

import (
	"errors"
	"io"
	"sync"

	"medlarslip/internal/state/clientmemory"
)

const (
	// firstPiece and pieceBytes are the sizes of the buffers that hold a body: a small one
	// first, since most bodies are small, and then large ones. Fixed sizes waste little, and
	// no bytes are copied while a body grows.
	firstPiece = 2 << 10
	pieceBytes = 8 << 10
)

var firstPieces, morePieces = newPiecePool(firstPiece), newPiecePool(pieceBytes)

func newPiecePool(size int) *sync.Pool {
	return &sync.Pool{New: func() any {
		piece := make([]byte, size)
		return &piece
	}}
}

// pieces is a body in buffers of fixed sizes.
type pieces struct {
	list [][]byte
	size int64
	// held is the memory that is accounted for.
	held int64
}

// read reads until the end. It accounts for each buffer when its first byte has arrived, so
// that a length which is only declared occupies nothing. declared is the length if it is
// known, otherwise -1.
func (p *pieces) read(reader io.Reader, declared int64, memory *clientmemory.Holding) error {
	var first [64]byte
	for {
		space := p.space()
		if len(space) == 0 {
			space = first[:]
		}
		n, err := reader.Read(space)
		if n > 0 && &space[0] == &first[0] {
			if full := p.add(declared, memory); full != nil {
				return full
			}
			copy(p.space(), first[:n])
		}
		p.extend(n)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// space returns the free part of the last piece.
func (p *pieces) space() []byte {
	if len(p.list) == 0 {
		return nil
	}
	last := p.list[len(p.list)-1]
	return last[len(last):cap(last)]
}

// extend marks n more bytes of the last piece as used.
func (p *pieces) extend(n int) {
	if n == 0 {
		return
	}
	last := &p.list[len(p.list)-1]
	*last = (*last)[:len(*last)+n]
	p.size += int64(n)
}

// add appends an empty piece.
func (p *pieces) add(declared int64, memory *clientmemory.Holding) error {
	pool, size := morePieces, int64(pieceBytes)
	if p.size == 0 && declared <= firstPiece {
		pool, size = firstPieces, firstPiece
	}
	if err := memory.Grow(size); err != nil {
		return err
	}
	p.held += size
	piece, _ := pool.Get().(*[]byte)
	p.list = append(p.list, (*piece)[:0])
	return nil
}

// release ends the accounting. Pieces that may still be written to a server are left to the
// garbage collector: the writer of an attempt that was canceled may use them for a moment.
func (p *pieces) release(memory *clientmemory.Holding, reuse bool) {
	memory.Shrink(p.held)
	if reuse {
		for _, piece := range p.list {
			whole := piece[:cap(piece)]
			if len(whole) == firstPiece {
				firstPieces.Put(&whole)
			} else {
				morePieces.Put(&whole)
			}
		}
	}
	*p = pieces{}
}
