package clientlimits_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// wholeBody sends a whole request of nearly the largest size that repeats a part between a prefix and a suffix, and does
// not read the answer.
func wholeBody(prefix, part, suffix string) client {
	body := prefix + strings.Repeat(part, (entryMaxBody-1000-len(prefix)-len(suffix))/len(part)) + suffix
	text := entryPost + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	return func(conn net.Conn) { write(conn, text) }
}

// wholeChat sends a chat request whose messages are copies of one.
func wholeChat(message string) client {
	return wholeBody(`{"model":"draft","stream":false,"messages":[`, message+",", message+"]}")
}

// manyFields sends a chat request with a different field for each nine bytes.
func manyFields() client {
	var fields strings.Builder
	for n := 0; fields.Len() < entryMaxBody-2000; n++ {
		fmt.Fprintf(&fields, `"%05x":0,`, n)
	}
	return wholeBody(`{`+fields.String()+`"model":"draft","messages":[`, `{},`, `{}]}`)
}

// Chat requests that are decoded must not exhaust memory, also if they have many small messages or fields.
func TestEntryWholeBodies(t *testing.T) {
	checkCases(t, startEntry, frontOf, []clientCase{
		{"one message", bodyClients, []client{wholeBody(`{"model":"draft","stream":false,"messages":[{"role":"user","content":"`, "m", `"}]}`)}},
		{"small messages", bodyClients, []client{wholeChat(`{"role":"user","content":"m"}`)}},
		{"empty messages", bodyClients, []client{wholeChat("{}")}},
		{"many fields", bodyClients, []client{manyFields()}},
	})
}
