package cascade

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/refusal"
)

// chooseVersion returns the step with the version of a model for a request, or
// nil if the client account may use none.
func chooseVersion(index *document.Index, cascade *document.Cascade, model *document.Model, req *Request) (*Step, *refusal.Refusal) {
	if kept := req.Session[model.Name]; kept != "" {
		step, refused := keepVersion(index, cascade, model, kept, req)
		if step != nil || refused != nil {
			return step, refused
		}
	}
	for _, id := range preference(index, model, req) {
		if usable(index, req.Account, id) {
			return newStep(index, model, id), nil
		}
	}
	return nil, nil
}

// preference lists the versions of a model in the order of preference for new
// work. New work never falls back to the new version of an open rollout.
func preference(index *document.Index, model *document.Model, req *Request) []string {
	var ids []string
	open := index.RolloutOf(model.Name)
	if open != nil {
		if onNewSide(open, req) {
			ids = append(ids, open.To)
		}
		ids = append(ids, open.From)
	}
	rollouts := index.Document().Rollouts
	for i := len(rollouts) - 1; i >= 0; i-- {
		if rollouts[i].Model == model.Name && rollouts[i].Stage == document.RolloutDone {
			ids = append(ids, rollouts[i].To)
		}
	}
	for _, version := range model.Versions {
		ids = append(ids, version.ID)
	}
	return slices.DeleteFunc(ids, func(id string) bool {
		return open != nil && id == open.To && !onNewSide(open, req)
	})
}

// newStep returns the step of a version, with the ID of the open rollout that
// it is part of.
func newStep(index *document.Index, model *document.Model, versionID string) *Step {
	step := &Step{Model: model.Name, VersionID: versionID}
	open := index.RolloutOf(model.Name)
	if open != nil && (versionID == open.From || versionID == open.To) {
		step.Rollout = open.ID
	}
	return step
}

// keepVersion returns the version that the session is pinned to, even if its
// rollout was halted. If the version can't be used any more, the cascade
// determines whether the session is refused or reassigned.
func keepVersion(index *document.Index, cascade *document.Cascade, model *document.Model, kept string, req *Request) (*Step, *refusal.Refusal) {
	if index.Version(kept) != nil && usable(index, req.Account, kept) && index.ModelOf(kept) == model {
		return newStep(index, model, kept), nil
	}
	if cascade.WhenWithdrawn == document.FallbackRefuse {
		return nil, withdrawn(kept)
	}
	return nil, nil
}

// onNewSide reports whether an open rollout assigns the request to its new
// version.
func onNewSide(rollout *document.Rollout, req *Request) bool {
	halted := rollout.Stage == document.RolloutHalted || req.Halted != nil && req.Halted(rollout.ID)
	return !halted && inShare(rollout, req)
}

// inShare draws by session, so that all requests of a session use the same
// version, or by request if there is no session. A growing share keeps all
// sessions that it already had.
func inShare(rollout *document.Rollout, req *Request) bool {
	const wholePercent = 100
	unit := req.SessionID
	if unit == "" {
		unit = req.RequestID
	}
	return xxhash.Sum64String(rollout.ID+"/"+unit)%wholePercent < uint64(rollout.SharePercent)
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
