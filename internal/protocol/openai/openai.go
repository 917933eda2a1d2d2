// Package openai defines the parts of the OpenAI chat completions API that the
// system reads or writes. Other fields are passed through unchanged.
package openai

import "encoding/json"

// Paths and markers of the API.
const (
	ChatCompletionsPath = "/v1/chat/completions"
	ModelsPath          = "/v1/models"
	// DoneMark is the data of the event that ends a stream.
	DoneMark = "[DONE]"
)

// Message is one message of a chat. Content is text or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatRequest holds the fields of a request that the system evaluates.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	User      string    `json:"user"`
}

// StreamOptions are the options of a streamed request.
type StreamOptions struct {
	// IncludeUsage requests a last chunk that holds the usage and no choices.
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// ChatResponse is a complete answer.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative in a ChatResponse.
type Choice struct {
	Index        int           `json:"index"`
	Message      AnswerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

// AnswerMessage is the message of a Choice.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is one alternative in a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk appends to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
	// ToolCalls is passed through unchanged. A stream with tool calls can't be
	// continued from the text received so far.
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// ModelList is the answer to GET at ModelsPath.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
