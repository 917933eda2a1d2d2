package gateway

import (
	"time"

	"medlarslip/internal/coordination/prefill"
)

// prompt describes the prompt of the request for a run of a model.
func (r *request) prompt(model string) *prefill.Prompt {
	return &prefill.Prompt{Service: r.service, Model: model, Tokens: r.call.PromptTokens, Objective: r.route.Objective}
}

// estimate returns what is expected of the prompt with the model to run next.
func (g *Gateway) estimate(req *request) prefill.Estimate {
	return g.prefill.Estimate(req.prompt(req.plan.model()))
}

// beginPrefill counts the prompt at the server that it goes to. The server has
// read it when the header of its answer arrives; then the returned function is
// to be called.
func (g *Gateway) beginPrefill(choice *selection) (end func()) {
	choice.backend.BeginPrefill(choice.prompt.Time)
	if choice.prompt.Long {
		g.LongPromptSent()
	}
	return func() { choice.backend.EndPrefill(choice.prompt.Time) }
}

// sharedPrefill returns the part of the time for the prompt that is for what other
// requests share.
func (r *request) sharedPrefill(whole time.Duration) time.Duration {
	parts := r.call.Prompt
	if len(parts) < 2 || r.call.PromptTokens <= 0 {
		return 0
	}
	own := float64(parts[len(parts)-1].Tokens) / float64(r.call.PromptTokens)
	return time.Duration(max(1-own, 0) * float64(whole))
}
