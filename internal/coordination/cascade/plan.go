// Package cascade decides which versions a request tries, and in which order:
// the cheapest steps that are expected to meet the quality target within the
// time limit of the kind of request. Expectations are learned from ratings.
package cascade

import (
	"time"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/refusal"
)

// Step is one version to try.
type Step struct {
	Model     string
	VersionID string
	// Rollout is the ID of the open rollout that has the version as its old or
	// new version; empty if there is none.
	Rollout string
}

// Request holds the inputs of a plan.
type Request struct {
	Account *document.ClientAccount
	Kind    *document.Kind
	// Model is the model name in the request: a cascade or a version ID.
	Model string
	// RequestID selects the samples of requests that explore or are rated.
	RequestID string
	// SessionID assigns sessions to the old or new version of a rollout, so that
	// all requests of a session use the same one. Empty for no session.
	SessionID string
	// Session maps models to the versions that the session is pinned to.
	Session map[string]string
	// Stream is true for an answer that is relayed as it arrives.
	Stream bool
	// RatingDown is true while the rating service gives no usable ratings.
	RatingDown bool
	// Remaining is the time left for the whole answer; 0 or less means no bound.
	Remaining time.Duration
	// Halted reports whether a rollout was halted automatically; nil means that
	// none was.
	Halted func(rolloutID string) bool
	// Learner provides expectations; nil means that nothing was learned yet.
	Learner *Learner
}

// Plan is the sequence of steps of one request.
type Plan struct {
	Steps []Step
	// QualityTarget is the lowest rating that ends the plan; 0 for a request that
	// names one version.
	QualityTarget float64
	// Options holds every step that was considered, for the explanation.
	Options []Option
	// RatingDown is copied from the request.
	RatingDown bool
	// Reason is a short explanation of the choice of steps.
	Reason string
}

// Option is a step with its expectations.
type Option struct {
	Step       Step
	Acceptance Estimate
	// Price is the price of a thousand tokens, in micros.
	Price int64
	// Duration is the expected duration of the step; 0 while unknown.
	Duration time.Duration
	// Quality is the rating that the configuration document declares.
	Quality float64
	// Chosen is true for the steps of the plan.
	Chosen bool
}

// NewPlan returns the plan for a request, or its refusal.
func NewPlan(index *document.Index, req *Request) (*Plan, *refusal.Refusal) {
	if index.Version(req.Model) != nil {
		return planVersion(index, req)
	}
	cascade := index.Cascade(req.Model)
	if cascade == nil {
		return nil, refusal.New(refusal.KindUnknownModel, "no model "+req.Model, "use a name that GET /v1/models lists")
	}
	return planCascade(index, cascade, req)
}

func planVersion(index *document.Index, req *Request) (*Plan, *refusal.Refusal) {
	if !allowed(req.Account, req.Model) {
		return nil, notAllowed(req)
	}
	if index.Version(req.Model).Withdrawn {
		return nil, withdrawn(req.Model)
	}
	step := Step{Model: index.ModelOf(req.Model).Name, VersionID: req.Model}
	return &Plan{Steps: []Step{step}, Reason: ReasonNamed}, nil
}

func planCascade(index *document.Index, cascade *document.Cascade, req *Request) (*Plan, *refusal.Refusal) {
	var options []Option
	for _, name := range cascade.Steps {
		step, refused := chooseVersion(index, cascade, index.Model(name), req)
		if refused != nil {
			return nil, refused
		}
		if step != nil {
			options = append(options, newOption(index, cascade, *step, req))
		}
	}
	if len(options) == 0 {
		return nil, notAllowed(req)
	}
	plan := &Plan{QualityTarget: cascade.QualityTarget, Options: options, RatingDown: req.RatingDown}
	return plan, choose(plan, req)
}

func newOption(index *document.Index, cascade *document.Cascade, step Step, req *Request) Option {
	version := index.Version(step.VersionID)
	key := Key{Cascade: cascade.Name, Kind: kindName(req.Kind), VersionID: step.VersionID, Account: req.Account.Name}
	return Option{
		Step:       step,
		Acceptance: req.Learner.EstimateAcceptance(key, Prior(version.Quality, cascade.QualityTarget)),
		Price:      version.MicrosPerThousandTokens,
		Duration:   req.Learner.ExpectedDuration(key.Kind, step.VersionID),
		Quality:    version.Quality,
	}
}

func kindName(kind *document.Kind) string {
	if kind == nil {
		return ""
	}
	return kind.Name
}
