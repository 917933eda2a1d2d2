package console

import (
	"net/url"

	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/document"
)

// sessionDocument returns the draft of the session, or the document in force if
// there is no draft.
func (s *Server) sessionDocument(session *session) *document.Document {
	if session.draft != nil {
		return session.draft.doc
	}
	return baseDocument(s.follower.current())
}

// openDraft returns the draft of the session, or a new one on the document in
// force. While the stream has not been read to its end yet, it answers the
// request and returns nil.
func (s *Server) openDraft(r *request) *draft {
	if r.session.draft != nil {
		return r.session.draft
	}
	current := s.follower.current()
	if current == nil && !s.follower.synced() {
		s.renderMessage(r.ctx, fasthttp.StatusServiceUnavailable, "The document in force is not known yet", "The log service has not answered since this console was started. Try again when it does.")
		return nil
	}
	return newDraft(current)
}

// storeDraft sets the draft of the session, or clears it if the draft has
// neither changes nor conflicts.
func storeDraft(session *session, d *draft) {
	session.draft = d
	if len(d.Conflicts) == 0 && d.changes(nil).Empty() {
		session.draft = nil
	}
}

// sectionBody is the content of the page of one section.
type sectionBody struct {
	Section *section
	Items   []document.Item
	changes []document.Change
}

// InDraft returns the kind of change that the draft makes to an item, or empty.
func (b sectionBody) InDraft(name string) string {
	for _, change := range b.changes {
		if change.Section == b.Section.ID && change.Name == name {
			return string(change.Kind)
		}
	}
	return ""
}

func (s *Server) showSection(r *request) {
	sec := s.requestedSection(r, r.query)
	if sec == nil {
		return
	}
	body := sectionBody{Section: sec, Items: document.Items(s.sessionDocument(r.session), sec.ID)}
	if d := r.session.draft; d != nil {
		body.changes = d.changes(nil).Items
	}
	s.render(r, "section", sec.Title, body)
}

func (s *Server) requestedSection(r *request, from url.Values) *section {
	sec := findSection(from.Get("of"))
	if sec == nil {
		s.renderMessage(r.ctx, fasthttp.StatusNotFound, "There is no such part of the document", "Go back to the overview.")
	}
	return sec
}

// itemBody is the content of the form of one item.
type itemBody struct {
	Section *section
	// Item is the name of the item, or empty for a new one.
	Item   string
	Fields []field
	Faults []string
}

// FaultyFields returns the fields that have faults.
func (b itemBody) FaultyFields() []field {
	var faulty []field
	for _, f := range b.Fields {
		if len(f.Faults) > 0 {
			faulty = append(faulty, f)
		}
	}
	return faulty
}

// itemTitle returns the title of the form of an item; an empty item is a new one.
func itemTitle(sec *section, item string) string {
	if item == "" {
		return "Add a " + sec.ID.Singular()
	}
	return "Change " + sec.ID.Singular() + " " + item
}

// requestedItem returns the section and the item name of a request; the name is
// empty for a new item. If the document has no such section or item, it answers
// the request and returns false.
func (s *Server) requestedItem(r *request, from url.Values) (*section, string, bool) {
	sec := s.requestedSection(r, from)
	if sec == nil {
		return nil, "", false
	}
	item := from.Get("item")
	if item != "" && !contains(itemNames(s.sessionDocument(r.session), sec.ID), item) {
		s.renderMessage(r.ctx, fasthttp.StatusNotFound, "There is no "+sec.ID.Singular()+" of this name", "It may have been removed. Go back to the list.")
		return nil, "", false
	}
	return sec, item, true
}

func (s *Server) showItem(r *request) {
	sec, item, ok := s.requestedItem(r, r.query)
	if !ok {
		return
	}
	body := itemBody{Section: sec, Item: item, Fields: sec.formFields(s.sessionDocument(r.session), item)}
	s.render(r, "item", itemTitle(sec, item), body)
}

func (s *Server) saveItem(r *request) {
	sec, item, ok := s.requestedItem(r, r.form)
	if !ok {
		return
	}
	d := s.openDraft(r)
	if d == nil {
		return
	}
	result := d.submit(sec, item, r.form)
	if !result.ok {
		r.ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		s.render(r, "item", itemTitle(sec, item), itemBody{Section: sec, Item: item, Fields: result.Fields, Faults: result.Faults})
		return
	}
	storeDraft(r.session, d)
	r.session.flash = capitalised(sec.ID.Singular()) + " " + result.item + " is saved in your draft. Nothing is published yet."
	s.redirect(r.ctx, "/section?of="+url.QueryEscape(string(sec.ID)))
}

func (s *Server) showRemove(r *request) {
	sec, item, ok := s.requestedItem(r, r.query)
	if !ok {
		return
	}
	s.render(r, "remove", "Remove "+sec.ID.Singular()+" "+item, itemBody{Section: sec, Item: item})
}

func (s *Server) removeItem(r *request) {
	sec, item, ok := s.requestedItem(r, r.form)
	if !ok {
		return
	}
	d := s.openDraft(r)
	if d == nil {
		return
	}
	if faults := d.remove(sec, item); len(faults) > 0 {
		r.ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		s.render(r, "remove", "Remove "+sec.ID.Singular()+" "+item, itemBody{Section: sec, Item: item, Faults: faults})
		return
	}
	storeDraft(r.session, d)
	r.session.flash = capitalised(sec.ID.Singular()) + " " + item + " is removed in your draft. Nothing is published yet."
	s.redirect(r.ctx, "/section?of="+url.QueryEscape(string(sec.ID)))
}
