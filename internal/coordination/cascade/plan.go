// Package cascade decides which versions a request tries, in which order: the
// cheapest steps that are expected to meet the quality target within the time
// of the kind of request. What to expect is learned from ratings.
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
	// Rollout is the ID of the roll-out in progress that the version belongs
	// to, as its old or its new version, or empty.
	Rollout string
}

// Request is what a plan depends on.
type Request struct {
	Account *document.ClientAccount
	Kind    *document.Kind
	// Model is the model name of the request: a cascade or a version ID.
	Model string
	// RequestID draws the sample of requests that explore or are rated.
	RequestID string
	// SessionID spreads sessions over the shares of a roll-out, so that all
	// requests of a session fall on the same side. Empty for no session.
	SessionID string
	// Session maps models to the versions that the session keeps.
	Session map[string]string
	// Stream is true for an answer that is passed on as it arrives.
	Stream bool
	// RatingDown is true while the rating service gives no usable ratings.
	RatingDown bool
	// Remaining is the time left for the whole answer.
	Remaining time.Duration
	// Halted reports whether a roll-out was halted automatically.
	Halted func(rolloutID string) bool
	// Learner gives expectations; nil means that nothing is known yet.
	Learner *Learner
}

// Plan is the sequence of steps of one request.
type Plan struct {
	Steps []Step
	// QualityTarget is the lowest rating of an answer that ends the plan; 0
	// for a request that names one version.
	QualityTarget float64
	// Options holds every step that was weighed, for the explanation.
	Options []Option
	// RatingDown is that of the request.
	RatingDown bool
	// Reason says in a few words why these steps were chosen.
	Reason string
}

// Option is one step with what is expected of it.
type Option struct {
	Step       Step
	Acceptance Estimate
	// Price is that of a thousand tokens, in micros.
	Price int64
	// Duration is the expected time of the step; 0 while unknown.
	Duration time.Duration
	// Quality is the rating that the document declares.
	Quality float64
	// Chosen is true for the steps of the plan.
	Chosen bool
}

// NewPlan returns the plan of a request, or the refusal.
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
