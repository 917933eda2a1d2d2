package document

import (
	"slices"
	"strings"
)

// ChangeKind is the type of change of an item.
type ChangeKind string

const (
	// ChangeAdded items are only in the new document.
	ChangeAdded ChangeKind = "added"
	// ChangeRemoved items are only in the old document.
	ChangeRemoved ChangeKind = "removed"
	// ChangeEdited items have different values.
	ChangeEdited ChangeKind = "changed"
)

// Detail is one changed field of an item. Before is empty if the item is added,
// After if it is removed.
type Detail struct {
	Label  string
	Before string
	After  string
	// Added and Removed are set if the entries of a list changed.
	Added   []string
	Removed []string
}

// isList reports whether the detail lists added or removed entries.
func (d Detail) isList() bool { return len(d.Added)+len(d.Removed) > 0 }

// clause describes the change in one clause.
func (d Detail) clause() string {
	if !d.isList() {
		return d.Label + " from " + d.Before + " to " + d.After
	}
	var clauses []string
	if len(d.Added) > 0 {
		clauses = append(clauses, "adds "+strings.Join(d.Added, ", "))
	}
	if len(d.Removed) > 0 {
		clauses = append(clauses, "removes "+strings.Join(d.Removed, ", "))
	}
	return d.Label + ": " + strings.Join(clauses, " and ")
}

// Change describes the change of one item.
type Change struct {
	Section Section
	Name    string
	Kind    ChangeKind
	// Summary is one readable sentence.
	Summary string
	Details []Detail
	// Touches describes what the change affects.
	Touches []string
	// Warnings lists the consequences that an operator must consider before
	// signing.
	Warnings []string
}

// maxSummaryBytes is the longest summary that replaces the table of details.
const maxSummaryBytes = 150

// Table returns the details to show besides the summary. It returns nil if a short
// summary describes the only changed field.
func (c Change) Table() []Detail {
	if c.Kind != ChangeEdited || len(c.Details) != 1 {
		return c.Details
	}
	if len(c.Summary) > maxSummaryBytes {
		return c.Details
	}
	return nil
}

// Server is a live backend server. Compare uses the live servers to find versions
// and plain services that no server could serve after a change.
type Server struct {
	FailureDomain string
	// Serves lists the versions or the plain service of the server.
	Serves []string
}

// Changes describes the difference between two documents.
type Changes struct {
	Items []Change
	// Warnings lists the consequences of all changes together.
	Warnings []string
}

// Empty reports whether the documents are equal.
func (c *Changes) Empty() bool { return len(c.Items) == 0 }

// AllWarnings returns the warnings of the items and of the whole document.
func (c *Changes) AllWarnings() []string {
	var all []string
	for _, change := range c.Items {
		all = append(all, change.Warnings...)
	}
	return append(all, c.Warnings...)
}

// Compare describes the changes from one document to another and what they affect.
// before is nil for the first document of a fleet. servers lists the live backend
// servers; it is nil if they are unknown.
func Compare(before, after *Document, servers []Server) *Changes {
	if before == nil {
		before = &Document{Schema: SchemaVersion}
	}
	d := &describer{before: before, after: after, oldIndex: NewIndex(before), newIndex: NewIndex(after), servers: servers}
	changes := &Changes{}
	for _, section := range Sections() {
		changes.Items = append(changes.Items, d.compareSection(section)...)
	}
	if len(changes.Items) == 0 && !sameText(before, after) {
		changes.Items = append(changes.Items, Change{Kind: ChangeEdited, Summary: "Only the order of entries changes."})
	}
	changes.Warnings = d.documentWarnings()
	return changes
}

func sameText(a, b *Document) bool {
	first, errA := Encode(a)
	second, errB := Encode(b)
	return errA == nil && errB == nil && string(first) == string(second)
}

// describer compares two documents and describes their differences.
type describer struct {
	before, after      *Document
	oldIndex, newIndex *Index
	servers            []Server
}

func (d *describer) compareSection(section Section) []Change {
	var changes []Change
	oldItems, newItems := Items(d.before, section), Items(d.after, section)
	for _, item := range newItems {
		old := findItem(oldItems, item.Name)
		if change, ok := compareItems(old, &item); ok {
			changes = append(changes, d.annotate(change))
		}
	}
	for _, item := range oldItems {
		if findItem(newItems, item.Name) == nil {
			change, _ := compareItems(&item, nil)
			changes = append(changes, d.annotate(change))
		}
	}
	return changes
}

func findItem(items []Item, name string) *Item {
	i := slices.IndexFunc(items, func(item Item) bool { return item.Name == name })
	if i < 0 {
		return nil
	}
	return &items[i]
}

// compareItems compares one item; one of the two may be nil. It reports false if
// nothing changed.
func compareItems(before, after *Item) (Change, bool) {
	switch {
	case before == nil:
		return Change{Section: after.Section, Name: after.Name, Kind: ChangeAdded, Details: singleSideDetails(after, true)}, true
	case after == nil:
		return Change{Section: before.Section, Name: before.Name, Kind: ChangeRemoved, Details: singleSideDetails(before, false)}, true
	}
	change := Change{Section: after.Section, Name: after.Name, Kind: ChangeEdited}
	for i, property := range after.Properties {
		if old := before.Properties[i].Value; old != property.Value {
			change.Details = append(change.Details, newDetail(property, old))
		}
	}
	return change, len(change.Details) > 0
}

// newDetail describes a changed field. For a list it also determines the added and
// removed entries, so that an operator can find them among many.
func newDetail(property Property, old string) Detail {
	detail := Detail{Label: property.Label, Before: old, After: property.Value}
	if listProperties[property.Key] {
		before, after := splitList(old), splitList(property.Value)
		detail.Added, detail.Removed = difference(after, before), difference(before, after)
	}
	return detail
}

func singleSideDetails(item *Item, added bool) []Detail {
	details := make([]Detail, 0, len(item.Properties))
	for _, property := range item.Properties {
		detail := Detail{Label: property.Label, Before: property.Value}
		if added {
			detail = Detail{Label: property.Label, After: property.Value}
		}
		details = append(details, detail)
	}
	return details
}

func (d *describer) annotate(change Change) Change {
	change.Summary = d.summary(&change)
	change.Touches = d.affected(&change)
	change.Warnings = d.warnings(&change)
	return change
}

func (d *describer) summary(change *Change) string {
	if special := d.specialSummary(change); special != "" {
		return special
	}
	subject := capitalise(change.Section.Singular()) + " " + change.Name
	switch change.Kind {
	case ChangeAdded:
		return subject + " is added."
	case ChangeRemoved:
		return subject + " is removed."
	}
	labels := make([]string, 0, len(change.Details))
	for _, detail := range change.Details {
		labels = append(labels, detail.clause())
	}
	return subject + " changes: " + strings.Join(labels, "; ") + "."
}

func (d *describer) specialSummary(change *Change) string {
	if change.Kind != ChangeEdited {
		return ""
	}
	switch change.Section {
	case SectionDomains:
		return domainSummary(change.Name, d.newIndex.DomainOut(change.Name))
	case SectionVersions:
		return d.versionSummary(change)
	case SectionRollouts:
		return d.rolloutSummary(change)
	}
	return ""
}

func domainSummary(name string, out bool) string {
	if out {
		return "Failure domain " + name + " is taken out: it receives no new work."
	}
	return "Failure domain " + name + " is brought back into service."
}

func (d *describer) versionSummary(change *Change) string {
	before, after := d.oldIndex.Version(change.Name), d.newIndex.Version(change.Name)
	switch {
	case len(change.Details) != 1 || before.Withdrawn == after.Withdrawn:
		return ""
	case after.Withdrawn:
		return "Version " + change.Name + " is withdrawn: it receives no new work, not even from sessions."
	}
	return "Version " + change.Name + " is brought back into service."
}

func (d *describer) rolloutSummary(change *Change) string {
	before, after := findRollout(d.before, change.Name), findRollout(d.after, change.Name)
	if before.Stage == after.Stage || len(change.Details) != 1 {
		return ""
	}
	subject := "Roll-out " + change.Name
	switch after.Stage {
	case RolloutHalted:
		return subject + " is halted: all new work goes to version " + after.From + "."
	case RolloutDone:
		return subject + " is finished: all new work goes to version " + after.To + "."
	}
	return subject + " goes on with a share of " + rolloutItem(*after).Properties[3].Value + "."
}

func findRollout(doc *Document, id string) *Rollout {
	for i := range doc.Rollouts {
		if doc.Rollouts[i].ID == id {
			return &doc.Rollouts[i]
		}
	}
	return nil
}

func capitalise(s string) string { return strings.ToUpper(s[:1]) + s[1:] }
