package gateway

import "medlarslip/internal/coordination/prefill"

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
		g.Loaded()
	}
	return func() { choice.backend.EndPrefill(choice.prompt.Time) }
}
