package console

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
)

// draft is an unpublished document that an operator edits.
type draft struct {
	// Base is the document that the draft changes; nil if the fleet has none.
	Base *configuration.InForce
	doc  *document.Document
	// Conflicts are the changes that rebase did not apply, since the document
	// in force changes the same fields differently.
	Conflicts []document.Conflict
	reason    string
	// unconfirmed is the text of a publication with an unknown outcome, or
	// empty.
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

// text returns the encoded document that the operator signs, or the text of
// the error if it can't be encoded.
func (d *draft) text() string {
	text, err := document.Encode(d.doc)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// digest identifies the base and the exact text that an operator reviewed. The
// review form sends it back as seal.
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

// outdated reports whether the document in force is not the base of the draft.
func (d *draft) outdated(current *configuration.InForce) bool {
	return hashOf(current) != hashOf(d.Base)
}

// rebase applies the changes of the draft to current, which becomes the new
// base. Changes that conflict with current are not applied.
func (d *draft) rebase(current *configuration.InForce) {
	merged, conflicts := document.Merge(baseDocument(d.Base), baseDocument(current), d.doc)
	d.Base, d.doc, d.Conflicts, d.unconfirmed = current, merged, conflicts, ""
}

// isConfirmedBy reports whether current is the document whose publication by
// this operator had an unknown outcome.
func (d *draft) isConfirmedBy(current *configuration.InForce, operator string) bool {
	if current == nil || d.unconfirmed == "" {
		return false
	}
	envelope := &current.Envelope
	return envelope.Operator == operator && envelope.BaseHash == hashOf(d.Base) && envelope.Document == d.unconfirmed
}

// formResult is the outcome of a submitted form.
type formResult struct {
	// Fields are the fields with the submitted values and their faults.
	Fields []field
	// Faults are the faults without a field in the form.
	Faults []string
	ok     bool
	// item is the name of the changed or added item.
	item string
}

// submit applies a form to the draft. If a value is invalid, or the changed
// draft has a fault that it does not have now, the draft stays as it is and the
// result lists the faults.
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

// remove deletes an item from the draft. If that adds faults, it returns their
// texts and the draft stays as it is.
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

// newFaults returns the faults that after has and before does not.
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

// attachFaults adds the faults of the item to the fields of its form and
// returns the texts of the others.
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

// unshownFaults returns the faults of fields that the form does not show.
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
