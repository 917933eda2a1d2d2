package openai_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/openai"
)

func parse(t *testing.T, messages string) (openai.ChatRequest, error) {
	t.Helper()
	return openai.ParseChatRequest(map[string]json.RawMessage{"model": json.RawMessage(`"m"`), "messages": json.RawMessage(messages)})
}

// The number of messages must not determine what is kept of a request, and the last one must be complete.
func TestLastMessageIsKept(t *testing.T) {
	request, err := parse(t, "["+strings.Repeat(`{"role":"system","content":"first"},`, 1000)+` { "role" : "user", "content": ["last"] } ]`)
	must.NoError(t, err)
	must.Eq(t, []openai.Message{{Role: "user", Content: json.RawMessage(`["last"]`)}}, request.Messages)
	// Brackets, commas and quotes of a text end no message.
	text := `{"role":"user","content":[{"text":"]},[{ \\\" \\\\"},[[1,2],{"a":[]}]]}`
	request, err = parse(t, `[{},`+text+`]`)
	must.NoError(t, err)
	var whole openai.Message
	must.NoError(t, json.Unmarshal([]byte(text), &whole))
	must.Eq(t, []openai.Message{whole}, request.Messages)
	request, err = parse(t, `[{"role":"user","content":"first"},{}]`)
	must.NoError(t, err)
	must.Eq(t, []openai.Message{{}}, request.Messages)
	for _, last := range []string{"null", `{"role":"user","content":"` + strings.Repeat("c", 20_000) + `"}`} {
		request, err = parse(t, `[{"role":"a"},`+last+`,{"role":"b"}, null , `+last+`]`)
		must.NoError(t, err)
		var whole openai.Message
		must.NoError(t, json.Unmarshal([]byte(last), &whole))
		must.Eq(t, []openai.Message{whole}, request.Messages)
	}
	for _, none := range []string{"null", "[]"} {
		request, err = parse(t, none)
		must.NoError(t, err)
		must.SliceEmpty(t, request.Messages)
	}
}

// Messages of another type must be refused, wherever they are.
func TestMessagesOfOtherTypes(t *testing.T) {
	for _, text := range []string{`"x"`, `7`, `{}`, `[7]`, `[{"role":7},{"role":"user"}]`, `[{"role":"user"},"x"]`, `[{"role":7},{"content":"` + strings.Repeat("c", 20_000) + `"}]`, `[{"role":7,"content":"` + strings.Repeat("c", 20_000) + `"}]`} {
		_, err := parse(t, text)
		must.Error(t, err, must.Sprint(text))
	}
}

// A body of empty messages must neither produce garbage for each of them, nor occupy more than the last one.
func TestEmptyMessagesAllocateNothing(t *testing.T) {
	const messages = 10_000
	text := "[" + strings.Repeat("{},", messages-1) + "{}]"
	allocations := testing.AllocsPerRun(1, func() {
		_, err := parse(t, text)
		must.NoError(t, err)
	})
	must.Less(t, messages/10, int(allocations))
}

// Only the fields of the request itself must count, also in a body that is no JSON.
func TestTooManyFields(t *testing.T) {
	fields := func(n int) string { return strings.TrimSuffix(strings.Repeat(`"a,\\":[{"b":1,"c":2},3],`, n), ",") }
	must.False(t, openai.TooManyFields([]byte("{"+fields(openai.MaxFields)+"}")))
	must.True(t, openai.TooManyFields([]byte("{"+fields(openai.MaxFields+1)+"}")))
	for _, text := range []string{``, `"`, `"\`, `{"a`, `]]]]`, `{"a":"\"`, `{"messages":[` + strings.Repeat("{},", 5000) + `]}`} {
		must.False(t, openai.TooManyFields([]byte(text)), must.Sprint(text[:min(len(text), 20)]))
	}
}
