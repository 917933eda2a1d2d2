package document

import (
	"reflect"
	"slices"
)

// Conflict is an item that two operators changed in different ways. The merged
// document contains it as the other operator changed it.
type Conflict struct {
	Section Section
	Name    string
	// Theirs and Mine describe the two changes.
	Theirs, Mine Change
}

// Merge applies the changes from base to mine on top of theirs, which is another
// document based on base. An item that both changed in different ways stays as in
// theirs and is returned as a conflict. The result may be invalid if the changes
// contradict each other; check it with Validate.
func Merge(base, theirs, mine *Document) (*Document, []Conflict) {
	base, theirs, mine = Clone(base), Clone(theirs), Clone(mine)
	m := &merger{base: base, theirs: theirs, mine: mine}
	merged := &Document{Schema: theirs.Schema}
	merged.Models = m.mergeModels()
	merged.Cascades = mergeList(m, SectionCascades, base.Cascades, theirs.Cascades, mine.Cascades, func(c Cascade) string { return c.Name })
	merged.Kinds = mergeList(m, SectionKinds, base.Kinds, theirs.Kinds, mine.Kinds, func(k Kind) string { return k.Name })
	merged.Rollouts = mergeList(m, SectionRollouts, base.Rollouts, theirs.Rollouts, mine.Rollouts, func(r Rollout) string { return r.ID })
	merged.ClientAccounts = mergeList(m, SectionAccounts, base.ClientAccounts, theirs.ClientAccounts, mine.ClientAccounts, func(a ClientAccount) string { return a.Name })
	merged.PlainServices = mergeList(m, SectionServices, base.PlainServices, theirs.PlainServices, mine.PlainServices, func(s PlainService) string { return s.Name })
	merged.FailureDomains = mergeList(m, SectionDomains, base.FailureDomains, theirs.FailureDomains, mine.FailureDomains, func(d FailureDomain) string { return d.Name })
	merged.ColdLimits = mergeList(m, SectionCold, base.ColdLimits, theirs.ColdLimits, mine.ColdLimits, func(c ColdLimit) string { return c.Target })
	return merged, m.conflicts
}

// merger merges two documents with a common base.
type merger struct {
	base, theirs, mine *Document
	conflicts          []Conflict
}

func (m *merger) conflict(section Section, name string) {
	m.conflicts = append(m.conflicts, Conflict{
		Section: section,
		Name:    name,
		Theirs:  changeOf(m.base, m.theirs, section, name),
		Mine:    changeOf(m.base, m.mine, section, name),
	})
}

// changeOf describes the change of one item from a base to a document.
func changeOf(before, after *Document, section Section, name string) Change {
	for _, change := range Compare(before, after, nil).Items {
		if change.Section == section && change.Name == name {
			return change
		}
	}
	return Change{Section: section, Name: name, Summary: capitalise(section.Singular()) + " " + name + " stays as it was."}
}

// mergeList merges one list, whose items are identified by name.
func mergeList[T any](m *merger, section Section, base, theirs, mine []T, name func(T) string) []T {
	var merged []T
	for _, theirItem := range theirs {
		id := name(theirItem)
		kept, conflict := mergeItem(findByName(base, id, name), &theirItem, findByName(mine, id, name))
		if conflict {
			m.conflict(section, id)
		}
		if kept != nil {
			merged = append(merged, *kept)
		}
	}
	for _, myItem := range mine {
		id := name(myItem)
		if findByName(theirs, id, name) != nil {
			continue
		}
		kept, conflict := mergeItem(findByName(base, id, name), nil, &myItem)
		if conflict {
			m.conflict(section, id)
		}
		if kept != nil {
			merged = append(merged, *kept)
		}
	}
	return merged
}

func findByName[T any](items []T, id string, name func(T) string) *T {
	i := slices.IndexFunc(items, func(item T) bool { return name(item) == id })
	if i < 0 {
		return nil
	}
	return &items[i]
}

// mergeItem merges one item; nil means that a document does not contain it.
func mergeItem[T any](base, theirs, mine *T) (merged *T, conflict bool) {
	switch {
	case equalItems(base, mine), equalItems(theirs, mine):
		return theirs, false
	case equalItems(base, theirs):
		return mine, false
	}
	return theirs, true
}

func equalItems[T any](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(*a, *b)
}

// mergeModels merges the models. For a model that all three documents contain, it
// merges the versions one by one.
func (m *merger) mergeModels() []Model {
	name := func(model Model) string { return model.Name }
	var merged []Model
	for _, theirs := range m.theirs.Models {
		base, mine := findByName(m.base.Models, theirs.Name, name), findByName(m.mine.Models, theirs.Name, name)
		switch {
		case base != nil && mine != nil:
			merged = append(merged, m.mergeModel(*base, theirs, *mine))
		case base != nil && equalItems(base, &theirs):
			// Removed in mine and unchanged in theirs.
		default:
			if base != nil || (mine != nil && !equalItems(&theirs, mine)) {
				m.conflict(SectionModels, theirs.Name)
			}
			merged = append(merged, theirs)
		}
	}
	for _, mine := range m.mine.Models {
		if findByName(m.theirs.Models, mine.Name, name) != nil {
			continue
		}
		base := findByName(m.base.Models, mine.Name, name)
		if base == nil {
			merged = append(merged, mine)
		} else if !equalItems(base, &mine) {
			m.conflict(SectionModels, mine.Name)
		}
	}
	return merged
}

func (m *merger) mergeModel(base, theirs, mine Model) Model {
	id := func(v Version) string { return v.ID }
	versions := mergeList(m, SectionVersions, base.Versions, theirs.Versions, mine.Versions, id)
	merged := Model{Name: theirs.Name, Versions: versions}
	mineReordered := reordered(base.Versions, mine.Versions)
	if !mineReordered {
		return merged
	}
	if reordered(base.Versions, theirs.Versions) {
		m.conflict(SectionModels, theirs.Name)
		return merged
	}
	slices.SortStableFunc(merged.Versions, func(a, b Version) int {
		return position(mine.Versions, a.ID) - position(mine.Versions, b.ID)
	})
	return merged
}

// reordered reports whether the versions that both lists contain are in a
// different order.
func reordered(base, changed []Version) bool {
	last := -1
	for _, version := range changed {
		index := slices.IndexFunc(base, func(v Version) bool { return v.ID == version.ID })
		if index < 0 {
			continue
		}
		if index < last {
			return true
		}
		last = index
	}
	return false
}

// position returns the index of a version, or the length of the list.
func position(versions []Version, id string) int {
	if index := slices.IndexFunc(versions, func(v Version) bool { return v.ID == id }); index >= 0 {
		return index
	}
	return len(versions)
}

// Clone returns a deep copy of a document. Empty lists become nil, so that equal
// documents are deeply equal.
func Clone(doc *Document) *Document {
	c := *doc
	c.Models = cloneList(doc.Models, func(m *Model) { m.Versions = cloneList(m.Versions, nil) })
	c.Cascades = cloneList(doc.Cascades, func(c *Cascade) { c.Steps = cloneList(c.Steps, nil) })
	c.Kinds = cloneList(doc.Kinds, nil)
	c.Rollouts = cloneList(doc.Rollouts, nil)
	c.ClientAccounts = cloneList(doc.ClientAccounts, func(a *ClientAccount) {
		a.KeyHashes = cloneList(a.KeyHashes, nil)
		a.AllowedVersions = cloneList(a.AllowedVersions, nil)
		a.AllowedServices = cloneList(a.AllowedServices, nil)
	})
	c.PlainServices = cloneList(doc.PlainServices, func(s *PlainService) { s.NonIdempotent = cloneList(s.NonIdempotent, nil) })
	c.FailureDomains = cloneList(doc.FailureDomains, nil)
	c.ColdLimits = cloneList(doc.ColdLimits, nil)
	return &c
}

func cloneList[T any](items []T, cloneNested func(*T)) []T {
	if len(items) == 0 {
		return nil
	}
	cloned := slices.Clone(items)
	if cloneNested != nil {
		for i := range cloned {
			cloneNested(&cloned[i])
		}
	}
	return cloned
}
