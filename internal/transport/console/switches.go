package console

import (
	"fmt"
	"slices"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/document"
)

// switchRow is one item that can be switched off and on.
type switchRow struct {
	Name string
	Note string
	Off  bool
}

// switchBody is the content of a page that switches many items at once.
type switchBody struct {
	Action   string
	Intro    string
	Question string
	OnLabel  string
	OffLabel string
	Rows     []switchRow
	Faults   []string
}

func (s *Server) showDomains(r *request) {
	s.render(r, "switches", domainsTitle, s.domainsBody(s.sessionDocument(r.session)))
}

const (
	domainsTitle     = "Take failure domains out or bring them back"
	withdrawalsTitle = "Withdraw versions or bring them back"
	haltsTitle       = "Halt roll-outs or let them go on"
)

func (s *Server) domainsBody(doc *document.Document) switchBody {
	body := switchBody{
		Action: "/domains", Question: "Failure domain", OnLabel: "in service", OffLabel: "taken out",
		Intro: "A failure domain that is taken out receives no new work within a few seconds after the change is in force. Requests that run there are not cut.",
	}
	view := s.fleet.snapshot()
	for _, domain := range doc.FailureDomains {
		body.Rows = append(body.Rows, switchRow{Name: domain.Name, Off: domain.Out, Note: serverSummary(&view, domain.Name)})
	}
	return body
}

func (s *Server) saveDomains(r *request) {
	s.saveSwitches(r, domainsTitle, s.domainsBody, func(doc *document.Document, off []string) {
		for i := range doc.FailureDomains {
			domain := &doc.FailureDomains[i]
			domain.Out = slices.Contains(off, domain.Name)
		}
	})
}

func (s *Server) showWithdrawals(r *request) {
	s.render(r, "switches", withdrawalsTitle, withdrawalsBody(s.sessionDocument(r.session)))
}

func withdrawalsBody(doc *document.Document) switchBody {
	body := switchBody{
		Action: "/withdrawals", Question: "Version", OnLabel: "in service", OffLabel: "withdrawn",
		Intro: "A version that is withdrawn receives no new work, not even from sessions that keep it. Requests that run on it are not cut.",
	}
	for _, model := range doc.Models {
		for _, version := range model.Versions {
			body.Rows = append(body.Rows, switchRow{Name: version.ID, Off: version.Withdrawn, Note: "model " + model.Name})
		}
	}
	return body
}

func (s *Server) saveWithdrawals(r *request) {
	s.saveSwitches(r, withdrawalsTitle, withdrawalsBody, func(doc *document.Document, off []string) {
		for i := range doc.Models {
			for j := range doc.Models[i].Versions {
				version := &doc.Models[i].Versions[j]
				version.Withdrawn = slices.Contains(off, version.ID)
			}
		}
	})
}

func (s *Server) showHalts(r *request) {
	s.render(r, "switches", haltsTitle, haltsBody(s.sessionDocument(r.session)))
}

func haltsBody(doc *document.Document) switchBody {
	body := switchBody{
		Action: "/halts", Question: "Roll-out", OnLabel: "active", OffLabel: "halted",
		Intro: "While a roll-out is halted, all new work goes to the old version. Sessions that keep the new version stay on it; withdraw the version to stop them too.",
	}
	for _, rollout := range doc.Rollouts {
		if rollout.Stage != document.RolloutDone {
			note := fmt.Sprintf("from %s to %s, share %d %%", rollout.From, rollout.To, rollout.SharePercent)
			body.Rows = append(body.Rows, switchRow{Name: rollout.ID, Off: rollout.Stage == document.RolloutHalted, Note: note})
		}
	}
	return body
}

func (s *Server) saveHalts(r *request) {
	s.saveSwitches(r, haltsTitle, haltsBody, func(doc *document.Document, off []string) {
		for i := range doc.Rollouts {
			rollout := &doc.Rollouts[i]
			switch {
			case rollout.Stage == document.RolloutDone:
			case slices.Contains(off, rollout.ID):
				rollout.Stage = document.RolloutHalted
			default:
				rollout.Stage = document.RolloutActive
			}
		}
	})
}

// saveSwitches changes in the draft which items are off, and redirects to the
// review. If that adds faults, the draft stays as it is and the form shows them.
func (s *Server) saveSwitches(r *request, title string, body func(*document.Document) switchBody, set func(doc *document.Document, off []string)) {
	d := s.openDraft(r)
	if d == nil {
		return
	}
	candidate := document.Clone(d.doc)
	var off []string
	for _, row := range body(candidate).Rows {
		state := r.form.Get("state-" + row.Name)
		// An item that is not in the form keeps its state.
		if state == valueNo || (state == "" && row.Off) {
			off = append(off, row.Name)
		}
	}
	set(candidate, off)
	if faults := newFaults(d.doc, candidate); len(faults) > 0 {
		r.ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		shown := body(candidate)
		shown.Faults = faultTexts(faults)
		s.render(r, "switches", title, shown)
		return
	}
	d.replace(candidate)
	storeDraft(r.session, d)
	s.redirect(r.ctx, "/draft")
}
