// Package cascade decides which versions a request tries, in which order.
package cascade

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/refusal"
)

// Step is one version to try.
type Step struct {
	Model     string
	VersionID string
	// Rollout is the ID of the roll-out that chose the version, or empty.
	Rollout string
}

// Request is what a plan depends on.
type Request struct {
	Account *document.ClientAccount
	// Model is the model name of the request: a cascade or a version ID.
	Model string
	// RequestID spreads requests over the shares of a roll-out.
	RequestID string
	// Session maps models to the versions that the session keeps.
	Session map[string]string
	// Stream is true for an answer that is passed on as it arrives.
	Stream bool
	// Halted reports whether a roll-out was halted automatically.
	Halted func(rolloutID string) bool
}

// Plan is the sequence of steps of one request.
type Plan struct {
	Steps []Step
	// QualityTarget is the lowest rating of an answer that ends the plan; 0
	// for a request that names one version.
	QualityTarget float64
}

// Make returns the plan of a request, or the refusal.
func Make(index *document.Index, req *Request) (*Plan, *refusal.Refusal) {
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
	return &Plan{Steps: []Step{step}}, nil
}

func planCascade(index *document.Index, cascade *document.Cascade, req *Request) (*Plan, *refusal.Refusal) {
	plan := &Plan{QualityTarget: cascade.QualityTarget}
	for _, name := range cascade.Steps {
		step, refused := chooseVersion(index, cascade, index.Model(name), req)
		if refused != nil {
			return nil, refused
		}
		if step != nil {
			plan.Steps = append(plan.Steps, *step)
		}
	}
	if len(plan.Steps) == 0 {
		return nil, notAllowed(req)
	}
	if req.Stream {
		plan.Steps = plan.Steps[streamStep(index, cascade, plan.Steps):]
	}
	return plan, nil
}

// streamStep returns the first step whose declared quality meets the target,
// or the last: tokens that were passed on can't be taken back, so a stream is
// not tried on a version that is expected to fall short.
func streamStep(index *document.Index, cascade *document.Cascade, steps []Step) int {
	for i, step := range steps {
		if index.Version(step.VersionID).Quality >= cascade.QualityTarget {
			return i
		}
	}
	return len(steps) - 1
}

// chooseVersion returns the version of a model for a request, or nil where
// the client account may use none.
func chooseVersion(index *document.Index, cascade *document.Cascade, model *document.Model, req *Request) (*Step, *refusal.Refusal) {
	if kept := req.Session[model.Name]; kept != "" {
		step, refused := keepVersion(index, cascade, model, kept, req)
		if step != nil || refused != nil {
			return step, refused
		}
	}
	step := rolloutStep(index, model, req)
	if step != nil && usable(index, req.Account, step.VersionID) {
		return step, nil
	}
	rollout := index.RolloutOf(model.Name)
	for _, version := range model.Versions {
		isNew := rollout != nil && version.ID == rollout.To
		if !isNew && usable(index, req.Account, version.ID) {
			return &Step{Model: model.Name, VersionID: version.ID}, nil
		}
	}
	return nil, nil
}

// keepVersion returns the version that the session keeps. Where it was
// withdrawn the cascade says whether the session is refused or reassigned.
func keepVersion(index *document.Index, cascade *document.Cascade, model *document.Model, kept string, req *Request) (*Step, *refusal.Refusal) {
	version := index.Version(kept)
	if version != nil && !version.Withdrawn && allowed(req.Account, kept) && index.ModelOf(kept) == model {
		return &Step{Model: model.Name, VersionID: kept}, nil
	}
	if cascade.WhenWithdrawn == document.FallbackRefuse {
		return nil, withdrawn(kept)
	}
	return nil, nil
}

// rolloutStep returns the side of an open roll-out that the request falls on.
func rolloutStep(index *document.Index, model *document.Model, req *Request) *Step {
	rollout := index.RolloutOf(model.Name)
	if rollout == nil {
		return nil
	}
	halted := rollout.Stage == document.RolloutHalted || req.Halted != nil && req.Halted(rollout.ID)
	if halted || !inShare(rollout, req.RequestID) {
		return &Step{Model: model.Name, VersionID: rollout.From}
	}
	return &Step{Model: model.Name, VersionID: rollout.To, Rollout: rollout.ID}
}

func inShare(rollout *document.Rollout, requestID string) bool {
	const wholePercent = 100
	return xxhash.Sum64String(rollout.ID+"/"+requestID)%wholePercent < uint64(rollout.SharePercent)
}

func usable(index *document.Index, account *document.ClientAccount, versionID string) bool {
	return !index.Version(versionID).Withdrawn && allowed(account, versionID)
}

func allowed(account *document.ClientAccount, versionID string) bool {
	return slices.Contains(account.AllowedVersions, versionID)
}

func notAllowed(req *Request) *refusal.Refusal {
	return refusal.New(refusal.KindNotAllowed, "client account "+req.Account.Name+" may not use "+req.Model, "use a name that GET /v1/models lists, or ask the operators to allow it")
}

func withdrawn(versionID string) *refusal.Refusal {
	return refusal.New(refusal.KindVersionWithdrawn, "version "+versionID+" was withdrawn", "leave out the session token to start a new session, or ask for another model")
}
