// Package clients_test tests the callers' API with the unmodified OpenAI client
// library for Go, configured with only address and key, and without retries.
package clients_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"medlarslip/internal/standin/engineserver"
	"medlarslip/internal/standin/localfleet"
)

func newClient(address, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+address+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func params(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// wantText returns the answer text of the simulated engine for a version.
func wantText(version string) string {
	return strings.Join(engineserver.Tokens(version, localfleet.AnswerTokens), "")
}

func TestOpenAIClient(t *testing.T) {
	fleet := localfleet.New(t)
	entry := fleet.Start("entry-1")
	defer fleet.StopAll()
	ctx := context.Background()
	client := newClient(entry.Callers, localfleet.APIKey)

	t.Run("whole answer", func(t *testing.T) {
		var raw *http.Response
		answer, err := client.Chat.Completions.New(ctx, params("draft"), option.WithResponseInto(&raw))
		must.NoError(t, err)
		must.Eq(t, raw.Header.Get("X-Medlarslip-Version"), answer.Model)
		must.Eq(t, wantText(answer.Model), answer.Choices[0].Message.Content)
		must.Eq(t, "stop", answer.Choices[0].FinishReason)
		must.Positive(t, answer.Usage.TotalTokens)
	})
	t.Run("stream", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, params("draft"))
		var whole openai.ChatCompletionAccumulator
		for stream.Next() {
			must.True(t, whole.AddChunk(stream.Current()))
		}
		must.NoError(t, stream.Err())
		must.Eq(t, wantText("large-1"), whole.Choices[0].Message.Content)
		must.Eq(t, "stop", whole.Choices[0].FinishReason)
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		must.NoError(t, err)
		var ids []string
		for _, model := range page.Data {
			ids = append(ids, model.ID)
		}
		must.Eq(t, []string{"draft", "small-1", "large-1"}, ids)
	})
	t.Run("refusals are the library's errors", func(t *testing.T) {
		cases := []struct {
			name, key, model, code string
			status                 int
		}{
			{"unknown model", localfleet.APIKey, "huge", "unknown_model", http.StatusNotFound},
			{"unknown key", "guess", "draft", "unauthenticated", http.StatusUnauthorized},
		}
		for _, tc := range cases {
			t.Run(tc.name, func(t *testing.T) {
				other := newClient(entry.Callers, tc.key)
				_, err := other.Chat.Completions.New(ctx, params(tc.model))
				var refused *openai.Error
				must.True(t, errors.As(err, &refused))
				must.Eq(t, tc.status, refused.StatusCode)
				must.Eq(t, tc.code, refused.Code)
				must.StrContains(t, refused.RawJSON(), `"outcome":"not_run"`)
			})
		}
	})
}
