package gateway

import (
	"time"

	"medlarslip/internal/coordination/prefill"
)

// prompt describes the prompt of the request for a run of a model.
func (r *request) prompt(model string) *prefill.Prompt {
	return &prefill.Prompt{Service: r.service, Model: model, Tokens: r.call.PromptTokens, Objective: r.route.Objective}
}

// estimate returns the prefill estimate of the prompt for the model to run next.
func (g *Gateway) estimate(req *request) prefill.Estimate {
	return g.prefill.Estimate(req.prompt(req.plan.model()))
}

// beginPrefill adds the prompt to the pending prefill of the chosen server. The
// caller must call end when the header of the response arrives, since prefill is
// complete then.
func (g *Gateway) beginPrefill(choice *selection) (end func()) {
	choice.backend.BeginPrefill(choice.prompt.Time)
	if choice.prompt.Long {
		g.LongPromptSent()
	}
	return func() { choice.backend.EndPrefill(choice.prompt.Time) }
}

// sharedPrefill returns the part of the prefill time whole that is for the
// prompt prefix that other requests share.
func (r *request) sharedPrefill(whole time.Duration) time.Duration {
	parts := r.call.Prompt
	if len(parts) < 2 || r.call.PromptTokens <= 0 {
		return 0
	}
	own := float64(parts[len(parts)-1].Tokens) / float64(r.call.PromptTokens)
	return time.Duration(max(1-own, 0) * float64(whole))
}
