package console

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
)

// draft is a document that an operator is working on.
type draft struct {
	// Base is the document it is made from; nil before the first of a fleet.
	Base *configuration.InForce
	doc  *document.Document
	// Conflicts are changes that were left out when the draft was made again
	// on top of a colleague's document.
	Conflicts []document.Conflict
	reason    string
	// unconfirmed is the text whose publishing has an unknown outcome, or empty.
	unconfirmed string
}

func newDraft(base *configuration.InForce) *draft {
	return &draft{Base: base, doc: document.Clone(baseDocument(base))}
}

// baseDocument returns the document of base, or an empty one for nil.
func baseDocument(base *configuration.InForce) *document.Document {
	if base == nil {
		return &document.Document{Schema: document.SchemaVersion}
	}
	return base.Index.Document()
}

func (d *draft) changes(servers []document.Server) *document.Changes {
	return document.Compare(baseDocument(d.Base), d.doc, servers)
}

// text returns the text that would be signed.
func (d *draft) text() string {
	text, err := document.Encode(d.doc)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// digest identifies what an operator was shown: the base and the exact text.
func (d *draft) digest() string {
	sum := sha256.Sum256([]byte(hashOf(d.Base) + "\n" + d.text()))
	return hex.EncodeToString(sum[:])
}

func hashOf(f *configuration.InForce) string {
	if f == nil {
		return ""
	}
	return f.Hash
}

// outdated reports whether another document came into force since the draft was
// begun.
func (d *draft) outdated(current *configuration.InForce) bool {
	return hashOf(current) != hashOf(d.Base)
}

// rebase makes the changes of the draft again on top of current.
func (d *draft) rebase(current *configuration.InForce) {
	merged, conflicts := document.Merge(baseDocument(d.Base), baseDocument(current), d.doc)
	d.Base, d.doc, d.Conflicts, d.unconfirmed = current, merged, conflicts, ""
}

// isConfirmedBy reports whether current is what the last attempt, whose outcome
// was unknown, has published.
func (d *draft) isConfirmedBy(current *configuration.InForce, operator string) bool {
	if current == nil || d.unconfirmed == "" {
		return false
	}
	envelope := &current.Envelope
	return envelope.Operator == operator && envelope.BaseHash == hashOf(d.Base) && envelope.Document == d.unconfirmed
}

// formResult is the outcome of a submitted form.
type formResult struct {
	// Fields are the fields to show again, with their faults.
	Fields []field
	// Faults are those that concern other parts of the document.
	Faults []string
	ok     bool
	// item is the name of the item that was written.
	item string
}

// submit applies a form to the draft. Where the values are at fault, or would
// make the draft break a rule that it keeps now, the draft stays as it is and
// the result says why.
func (d *draft) submit(s *section, name string, form url.Values) *formResult {
	candidate := document.Clone(d.doc)
	v := newFormValues(form)
	item := s.write(candidate, name, v)
	result := &formResult{item: item}
	if len(v.faults) == 0 {
		result.Faults = attachFaults(newFaults(d.doc, candidate), s, item, v)
	}
	result.ok = len(v.faults) == 0 && len(result.Faults) == 0
	if result.ok {
		d.replace(candidate)
		return result
	}
	result.Fields = s.fields(d.doc, name)
	applySubmitted(result.Fields, v)
	result.Faults = append(result.Faults, unshownFaults(result.Fields, v)...)
	return result
}

// remove takes an item out of the draft, or returns why it must stay.
func (d *draft) remove(s *section, name string) []string {
	candidate := document.Clone(d.doc)
	s.remove(candidate, name)
	faults := newFaults(d.doc, candidate)
	if len(faults) > 0 {
		return faultTexts(faults)
	}
	d.replace(candidate)
	return nil
}

func (d *draft) replace(doc *document.Document) {
	d.doc, d.unconfirmed = document.Clone(doc), ""
}

// newFaults returns the faults of after that before does not have.
func newFaults(before, after *document.Document) []document.Fault {
	known := map[document.Fault]bool{}
	for _, fault := range document.Faults(before) {
		known[fault] = true
	}
	var found []document.Fault
	for _, fault := range document.Faults(after) {
		if !known[fault] {
			found = append(found, fault)
		}
	}
	return found
}

// attachFaults puts the faults of the item beside its fields and returns the
// others as texts.
func attachFaults(faults []document.Fault, s *section, item string, v *formValues) []string {
	var others []document.Fault
	for _, fault := range faults {
		if key := s.fieldKey(fault, item, v); key != "" {
			v.addFault(key, fault.Problem, fault.Remedy)
			continue
		}
		others = append(others, fault)
	}
	return faultTexts(others)
}

// unshownFaults returns the faults whose field the form does not show.
func unshownFaults(fields []field, v *formValues) []string {
	shown := map[string]bool{}
	for _, f := range fields {
		shown[f.Key] = true
	}
	var unshown []string
	for key, faults := range v.faults {
		if !shown[key] {
			unshown = append(unshown, faults...)
		}
	}
	return unshown
}

func faultTexts(faults []document.Fault) []string {
	var texts []string
	for _, fault := range faults {
		texts = append(texts, fault.Error())
	}
	return texts
}
