package openai

import (
	"encoding/json"
	"fmt"
)

// ParseChatRequest decodes the fields that the system evaluates from the fields
// of a request. Names are compared case-sensitively, as in engines; encoding/json
// alone would also accept names with different case.
func ParseChatRequest(fields map[string]json.RawMessage) (ChatRequest, error) {
	var request ChatRequest
	targets := []struct {
		name string
		out  any
	}{
		{"model", &request.Model},
		{"messages", &request.Messages},
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
