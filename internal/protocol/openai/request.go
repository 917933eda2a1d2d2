package openai

import (
	"encoding/json"
	"fmt"
)

// ParseChatRequest reads the fields that the system decides by from the
// fields of a request. Names must match to the letter, as engines match them;
// encoding/json alone would also take a field whose case differs.
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
