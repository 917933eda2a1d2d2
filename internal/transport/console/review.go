package console

import (
	"context"
	"errors"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/document"
)

// colleagueBody describes a document that came into force after the draft was
// begun.
type colleagueBody struct {
	InForce *configuration.InForce
	Changes *document.Changes
}

// draftBody is the content of the review page.
type draftBody struct {
	Draft    *draft
	Changes  *document.Changes
	Warnings []string
	// Colleague is nil if the base of the draft is in force.
	Colleague *colleagueBody
	// Invalid lists the faults of the draft as a whole.
	Invalid []string
	// Problem says why publishing failed, or is empty.
	Problem string
	Reason  string
	// ReasonFault and WarningsFault are the faults of these fields, or empty.
	ReasonFault   string
	WarningsFault string
	Text          string
	Seal          string
	// Number is the number that the published document will have.
	Number int64
}

func (s *Server) showDraft(r *request) { s.renderDraft(r, &draftBody{}) }

// renderDraft sets the other fields of the body and renders the review page.
func (s *Server) renderDraft(r *request, body *draftBody) {
	d := r.session.draft
	if d == nil {
		s.render(r, "nodraft", "Your draft", nil)
		return
	}
	view := s.fleet.snapshot()
	body.Draft = d
	body.Changes = d.changes(view.liveServers())
	body.Warnings = body.Changes.AllWarnings()
	body.Invalid = faultTexts(document.Faults(d.doc))
	body.Text, body.Seal = d.text(), d.digest()
	body.Number = numberOf(d.Base) + 1
	if body.Reason == "" {
		body.Reason = d.reason
	}
	if current := s.follower.current(); d.outdated(current) {
		body.Colleague = &colleagueBody{InForce: current, Changes: document.Compare(baseDocument(d.Base), baseDocument(current), view.liveServers())}
	}
	s.render(r, "draft", "Review and sign", body)
}

func numberOf(f *configuration.InForce) int64 {
	if f == nil {
		return 0
	}
	return f.Envelope.Number
}

func (s *Server) discard(r *request) {
	r.session.draft = nil
	r.session.flash = "Your draft is discarded. What is in force stays as it is."
	s.redirect(r.ctx, "/")
}

func (s *Server) rebase(r *request) {
	d := r.session.draft
	if d == nil {
		s.redirect(r.ctx, "/draft")
		return
	}
	d.rebase(s.follower.current())
	storeDraft(r.session, d)
	r.session.flash = "Your changes were made again on top of the document in force. Check them before you sign."
	if r.session.draft == nil {
		r.session.flash = "Nothing is left to do: the document in force holds all of your changes."
	}
	s.redirect(r.ctx, "/draft")
}

// publish signs and publishes the draft if it is exactly what the operator
// reviewed.
func (s *Server) publish(r *request) {
	d := r.session.draft
	if d == nil {
		s.redirect(r.ctx, "/draft")
		return
	}
	d.reason = newFormValues(r.form).text("reason")
	body := &draftBody{Reason: d.reason, ReasonFault: checkReason(d.reason)}
	view := s.fleet.snapshot()
	if len(d.changes(view.liveServers()).AllWarnings()) > 0 && r.form.Get("warnings_read") != valueYes {
		body.WarningsFault = "the box is not ticked; read the warnings, and tick it if you answer for them"
	}
	if r.form.Get("seal") != d.digest() {
		body.Problem = "The draft has changed since this page was shown to you, perhaps in another window. Read it again before you sign."
	}
	if body.Problem != "" || body.ReasonFault != "" || body.WarningsFault != "" {
		r.ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		s.renderDraft(r, body)
		return
	}
	s.signAndPublish(r, d, body)
}

func (s *Server) signAndPublish(r *request, d *draft, body *draftBody) {
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	text := d.text()
	accepted, err := s.publisher().Publish(ctx, d.Base, d.doc, d.reason)
	s.follower.applyPublished(accepted)
	if errors.Is(err, configuration.ErrConflict) {
		// After an attempt with an unknown outcome, the document that came into
		// force may be that of the attempt.
		s.confirmPublication(r.session)
	}
	switch {
	case err == nil:
		r.session.published, r.session.draft = accepted, nil
	case r.session.draft == nil:
	default:
		d.unconfirmed, body.Problem = unconfirmedAfter(err, text, d.unconfirmed), publishProblem(err)
		r.ctx.SetStatusCode(fasthttp.StatusConflict)
		s.renderDraft(r, body)
		return
	}
	s.redirect(r.ctx, "/published")
}

// unconfirmedAfter returns the text of a publication whose outcome is unknown
// after err, or empty. text is what was published now, earlier is the text that
// was unconfirmed before. After a conflict it is empty, since another document
// is in force.
func unconfirmedAfter(err error, text, earlier string) string {
	if errors.Is(err, configuration.ErrConflict) {
		return ""
	}
	if errors.Is(err, eventlog.ErrNotAppended) || errors.Is(err, document.ErrInvalid) {
		return earlier
	}
	return text
}

// publishProblem says in plain words why a publication failed, or that its
// outcome is unknown.
func publishProblem(err error) string {
	switch {
	case errors.Is(err, configuration.ErrConflict):
		return "Not published: a colleague was faster. Their change is shown below; yours is kept."
	case errors.Is(err, document.ErrInvalid):
		return "Not published: the draft is not valid. " + err.Error()
	case errors.Is(err, eventlog.ErrNotAppended):
		return "Not published: the log service did not take the document. Your draft is kept; publish it again when the log service answers. (" + err.Error() + ")"
	}
	return "It is not known yet whether your document is published: the log service did not answer in time. Load this page again in a few seconds. If the document was accepted, this console will say so; publishing it again does no harm. (" + err.Error() + ")"
}

// publishedBody is the content of the page after publishing.
type publishedBody struct {
	Published *configuration.InForce
	// Replaced is the newer document that has come into force since, or nil.
	Replaced *configuration.InForce
	Fleet    fleetBody
	// Complete is true if every listed instance has the document, or a newer
	// one, in force.
	Complete bool
}

func (s *Server) showPublished(r *request) {
	published := r.session.published
	if published == nil {
		s.redirect(r.ctx, "/")
		return
	}
	body := publishedBody{Published: published}
	if current := s.follower.current(); numberOf(current) > numberOf(published) {
		body.Replaced = current
	}
	body.Fleet = s.fleetBody(published)
	body.Complete = len(body.Fleet.Rows) > 0 && body.Fleet.InForce == len(body.Fleet.Rows)
	if !body.Complete {
		// The page has no script, so the browser reloads it to show progress.
		r.ctx.Response.Header.Set("Refresh", "3")
	}
	s.render(r, "published", "Published", body)
}

func (s *Server) signOut(r *request) {
	s.sessions.drop(r.session.id)
	s.renderMessage(r.ctx, fasthttp.StatusOK, "You are signed out", "Your draft is gone. To sign in again, open the newest link that the console printed.")
}
