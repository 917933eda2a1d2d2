package gateway

import (
	"time"

	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/protocol/routes"
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
	choice.backend.BeginPrefill(choice.outstanding)
	if choice.prompt.Long {
		g.LongPromptSent()
	}
	return func() { choice.backend.EndPrefill(choice.outstanding) }
}

// sharedPrefill returns the part of the prefill time whole that is for the
// prompt prefix that other requests share.
func (r *request) sharedPrefill(whole time.Duration) time.Duration {
	return time.Duration((1 - r.ownShare()) * float64(whole))
}

// minOwnShare bounds cacheFactor for prompts of which hardly anything is not shared.
const minOwnShare = 0.1

// cacheFactor returns how many times longer the time to the header of a stream may be at a
// server that has not cached the prompt prefix than at one that has. It is 1 for other
// responses: the time to their headers includes the whole answer, and nothing else of them is
// compared.
func (r *request) cacheFactor() float64 {
	if r.route.Kind != routes.Stream {
		return 1
	}
	return 1 / max(r.ownShare(), minOwnShare)
}

// ownShare returns the share of the prompt that other requests do not share: 1 if there is no
// prompt prefix.
func (r *request) ownShare() float64 {
	parts := r.call.Prompt
	if len(parts) < 2 || r.call.PromptTokens <= 0 {
		return 1
	}
	return min(max(float64(parts[len(parts)-1].Tokens)/float64(r.call.PromptTokens), 0), 1)
}
