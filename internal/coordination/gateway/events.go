package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"medlarslip/internal/state/clientmemory"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 256 << 10

var (
	errEventTooLong = errors.New("event of the stream is too long; raise the bound or have the server send smaller events")
	errEventCut     = errors.New("stream ended within an event")
	errEventOrder   = errors.New("number of the event is not above that of the previous event")
)

// event is one event of a stream as sent by the server, with its final empty
// line (server-sent events, HTML Living Standard, section 9.2).
type event struct {
	raw []byte
	// id is the number in the ID of the event; -1 if it has none.
	id int64
}

// eventReader reads a stream event by event.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
	// memory accounts for the buffer as held bytes of the client, which may not take the
	// events.
	memory *clientmemory.Holding
	held   int64
}

// eventBufferBytes is the size of the read buffer of a stream.
const eventBufferBytes = 4 << 10

// eventGrowth is the step by which the buffer of an event grows.
const eventGrowth = 16 << 10

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(source, eventBufferBytes)}
}

// next returns the next event; its bytes are valid until the next call. The
// error is io.EOF only after a whole event.
func (r *eventReader) next() (event, error) {
	r.buffer = r.buffer[:0]
	for {
		line, err := r.reader.ReadSlice('\n')
		if grown := r.grow(len(line)); grown != nil {
			return event{}, grown
		}
		r.buffer = append(r.buffer, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(r.buffer) > 0 {
				err = errEventCut
			}
			return event{}, err
		}
		if len(r.buffer) > maxEventBytes {
			return event{}, errEventTooLong
		}
		if endsEvent(r.buffer) {
			return event{raw: r.buffer, id: eventID(r.buffer)}, nil
		}
	}
}

// grow makes room for n more bytes. It accounts for a larger buffer before that is allocated, and
// for both buffers while one is copied. The memory of the first buffer is part of that of a
// running request.
func (r *eventReader) grow(n int) error {
	needed := len(r.buffer) + n
	switch {
	case needed <= cap(r.buffer):
		return nil
	case needed <= clientmemory.FirstResponseBytes:
		r.buffer = append(make([]byte, 0, clientmemory.FirstResponseBytes), r.buffer...)
		return nil
	}
	size := (needed + eventGrowth - 1) / eventGrowth * eventGrowth
	if r.memory.Grow(int64(size)) != nil {
		return errBuffersFull
	}
	r.buffer = append(make([]byte, 0, size), r.buffer...)
	r.memory.Shrink(r.held)
	r.held = int64(size)
	return nil
}

// release ends the accounting.
func (r *eventReader) release() {
	r.memory.Shrink(r.held)
	r.held = 0
}

func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) || string(raw) == "\n" || string(raw) == "\r\n"
}

func eventID(raw []byte) int64 {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return -1
		}
		return id
	}
	return -1
}
