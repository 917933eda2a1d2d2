package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"
)

// ParseChatRequest decodes the fields that the system evaluates from the fields
// of a request. Names are compared case-sensitively, as in engines; encoding/json
// alone would also accept names with different case.
//
// Of the messages it keeps the last one only. An array of empty messages would
// otherwise occupy twenty times its length.
func ParseChatRequest(fields map[string]json.RawMessage) (ChatRequest, error) {
	var request ChatRequest
	targets := []struct {
		name string
		out  any
	}{
		{"model", &request.Model},
		{"messages", (*lastMessage)(&request.Messages)},
		{"stream", &request.Stream},
		{"max_tokens", &request.MaxTokens},
		{"user", &request.User},
	}
	for _, target := range targets {
		raw, ok := fields[target.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, target.out); err != nil {
			return ChatRequest{}, fmt.Errorf("field %s: %w", target.name, err)
		}
	}
	return request, nil
}

// lastMessage decodes an array of messages, one at a time, and keeps the last one.
type lastMessage []Message

// UnmarshalJSON implements json.Unmarshaler.
func (l *lastMessage) UnmarshalJSON(text []byte) error {
	if len(text) == 0 || text[0] != '[' {
		// null, or an error that names the type.
		return json.Unmarshal(text, (*[]Message)(l))
	}
	var last Message
	var reader bytes.Reader
	// The decoder has its state once, where json.Unmarshal allocates one for each call: a body of
	// empty messages would produce more garbage than the collector can keep up with.
	decoder := json.NewDecoder(&reader)
	count := 0
	for element := range elements(text) {
		last = Message{}
		count++
		var err error
		if len(element) > largeMessage {
			err = json.Unmarshal(element, &last)
		} else {
			reader.Reset(element)
			err = decoder.Decode(&last)
		}
		if err != nil {
			return err
		}
	}
	if *l = nil; count > 0 {
		*l = lastMessage{last}
	}
	return nil
}

// largeMessage is the size in bytes of a message from which on it is not copied into the buffer of a decoder.
const largeMessage = 16 << 10

// elements returns the elements of an array, which must be valid JSON. A json.Decoder of
// the array would hold a copy of each in a buffer that doubles.
func elements(array []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		start, depth := 1, 0
		for i := 1; i < len(array); i++ {
			switch array[i] {
			case '"':
				for i++; array[i] != '"'; i++ {
					if array[i] == '\\' {
						i++
					}
				}
			case '[', '{':
				depth++
			case '}':
				depth--
			case ',', ']':
				if depth == 0 {
					element := bytes.TrimSpace(array[start:i])
					if len(element) > 0 && !yield(element) {
						return
					}
					start = i + 1
				} else if array[i] == ']' {
					depth--
				}
			}
		}
	}
}

// MaxFields is the largest number of fields of a request. The OpenAI API has about 40.
const MaxFields = 1000

// TooManyFields reports whether a body, which need not be valid JSON, has more than MaxFields fields. Decoded,
// a field occupies many times the few bytes that it has at least.
func TooManyFields(body []byte) bool {
	commas, depth := 0, 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			for i++; i < len(body) && body[i] != '"'; i++ {
				if body[i] == '\\' {
					i++
				}
			}
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		case ',':
			if depth == 1 {
				commas++
			}
			if commas >= MaxFields {
				return true
			}
		}
	}
	return false
}
