package document

import (
	"fmt"
	"slices"
	"strings"
)

// affected describes what a change affects.
func (d *describer) affected(change *Change) []string {
	switch change.Section {
	case SectionModels:
		return d.affectedByModel(change.Name)
	case SectionVersions:
		return d.affectedByVersion(change.Name)
	case SectionCascades:
		return describeAccounts(d.accountsOfCascade(change.Name))
	case SectionKinds:
		return d.affectedByKind(change.Name)
	case SectionRollouts:
		return d.affectedByRollout(change.Name)
	case SectionAccounts:
		return []string{"client account " + change.Name}
	case SectionServices:
		return describeAccounts(d.accountsWhere(func(a *ClientAccount) bool { return slices.Contains(a.AllowedServices, change.Name) }))
	case SectionDomains:
		return d.affectedByDomain(change.Name)
	case SectionCold:
		return []string{"every backend server of " + change.Name + " that has just started"}
	}
	return nil
}

// accountsWhere returns the names of the client accounts in either document that
// meet the condition.
func (d *describer) accountsWhere(condition func(*ClientAccount) bool) []string {
	var found []string
	for _, doc := range []*Document{d.after, d.before} {
		for i := range doc.ClientAccounts {
			account := &doc.ClientAccounts[i]
			if condition(account) && !slices.Contains(found, account.Name) {
				found = append(found, account.Name)
			}
		}
	}
	return found
}

func (d *describer) accountsOfVersions(ids ...string) []string {
	return d.accountsWhere(func(a *ClientAccount) bool {
		return slices.ContainsFunc(a.AllowedVersions, func(id string) bool { return slices.Contains(ids, id) })
	})
}

func describeAccounts(names []string) []string {
	if len(names) == 0 {
		return []string{"no client account"}
	}
	return []string{"client accounts: " + strings.Join(names, ", ")}
}

func (d *describer) cascadesOfModel(model string) []string {
	var found []string
	for _, doc := range []*Document{d.after, d.before} {
		for _, cascade := range doc.Cascades {
			if slices.Contains(cascade.Steps, model) && !slices.Contains(found, cascade.Name) {
				found = append(found, cascade.Name)
			}
		}
	}
	return found
}

func describeCascades(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	return []string{"cascades: " + strings.Join(names, ", ")}
}

// versionIDs returns the IDs of the versions of a model in either document.
func (d *describer) versionIDs(model string) []string {
	var ids []string
	for _, index := range []*Index{d.newIndex, d.oldIndex} {
		if m := index.Model(model); m != nil {
			for _, version := range m.Versions {
				ids = append(ids, version.ID)
			}
		}
	}
	return ids
}

func (d *describer) affectedByModel(model string) []string {
	return append(describeCascades(d.cascadesOfModel(model)), describeAccounts(d.accountsOfVersions(d.versionIDs(model)...))...)
}

func (d *describer) affectedByVersion(id string) []string {
	model := d.modelName(id)
	return append(describeCascades(d.cascadesOfModel(model)), describeAccounts(d.accountsOfVersions(id))...)
}

// modelName returns the name of the model of a version in either document, or "".
func (d *describer) modelName(versionID string) string {
	for _, index := range []*Index{d.newIndex, d.oldIndex} {
		if model := index.ModelOf(versionID); model != nil {
			return model.Name
		}
	}
	return ""
}

func (d *describer) accountsOfCascade(name string) []string {
	var ids []string
	for _, index := range []*Index{d.newIndex, d.oldIndex} {
		if cascade := index.Cascade(name); cascade != nil {
			for _, model := range cascade.Steps {
				ids = append(ids, d.versionIDs(model)...)
			}
		}
	}
	return d.accountsOfVersions(ids...)
}

func (d *describer) affectedByKind(name string) []string {
	byDefault := d.accountsWhere(func(a *ClientAccount) bool { return a.DefaultKind == name })
	return append([]string{"every request that names this kind"}, describeAccounts(byDefault)...)
}

func (d *describer) affectedByRollout(id string) []string {
	rollout := findRollout(d.after, id)
	if rollout == nil {
		rollout = findRollout(d.before, id)
	}
	affected := append([]string{"new work of model " + rollout.Model}, describeCascades(d.cascadesOfModel(rollout.Model))...)
	return append(affected, describeAccounts(d.accountsOfVersions(rollout.To))...)
}

func (d *describer) affectedByDomain(name string) []string {
	if d.servers == nil {
		return []string{"every backend server in " + name + " (the instance list could not be read, so their number is not known)"}
	}
	count := 0
	var served []string
	for _, server := range d.servers {
		if server.FailureDomain != name {
			continue
		}
		count++
		served = append(served, server.Serves...)
	}
	if count == 0 {
		return []string{"no backend server that is alive now"}
	}
	slices.Sort(served)
	return []string{fmt.Sprintf("%s alive now, which serve: %s", plural(count, "backend server"), strings.Join(slices.Compact(served), ", "))}
}
