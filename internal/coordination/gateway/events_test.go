package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
)

func TestEventsAreReadWhole(t *testing.T) {
	cases := []struct {
		name, text string
		ids        []int64
		err        error
	}{
		{"empty", "", nil, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		{"crlf", "id: 1\r\ndata: a\r\n\r\n", []int64{1}, io.EOF},
		{"without an ID", "data: a\n\n", []int64{-1}, io.EOF},
		{"version line first", "weight-versions: 3\nid: 4\ndata: a\n\n", []int64{4}, io.EOF},
		{"cut in a line", "id: 1\ndata: a\n\nid: 2\nda", []int64{1}, errEventCut},
		{"cut between lines", "id: 1\ndata: a\n\nid: 2\n", []int64{1}, errEventCut},
		{"longer than the buffer", "id: 1\ndata: " + strings.Repeat("x", 3*eventBufferBytes) + "\n\n", []int64{1}, io.EOF},
		{"too long", "id: 1\ndata: " + strings.Repeat("x", maxEventBytes+eventBufferBytes) + "\n\n", nil, errEventTooLong},
	}
	for _, c := range cases {
		for _, source := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			ids, text, err := readAllEvents(source)
			must.ErrorIs(t, err, c.err, must.Sprint(c.name))
			must.Eq(t, c.ids, ids, must.Sprint(c.name))
			must.StrHasPrefix(t, text, c.text)
		}
	}
}

func readAllEvents(source io.Reader) (ids []int64, text string, err error) {
	events := newEventReader(source)
	for {
		ev, err := events.next()
		if err != nil {
			return ids, text, err
		}
		ids = append(ids, ev.id)
		text += string(ev.raw)
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\r\n\r\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, passed, err := readAllEvents(strings.NewReader(text))
		if !strings.HasPrefix(text, passed) {
			t.Fatal("events differ from the text that was sent")
		}
		if errors.Is(err, io.EOF) && passed != text {
			t.Fatal("io.EOF was returned before the last event")
		}
	})
}
