package document

import (
	"fmt"
	"slices"
	"strings"
)

// warnings returns the consequences of one change that an operator must consider
// before signing.
func (d *describer) warnings(change *Change) []string {
	switch change.Section {
	case SectionVersions:
		return d.versionWarnings(change)
	case SectionCascades:
		return d.cascadeWarnings(change)
	case SectionAccounts:
		return d.accountWarnings(change)
	case SectionServices:
		return d.serviceWarnings(change)
	case SectionDomains:
		return d.domainWarnings(change)
	case SectionCold:
		return d.coldWarnings(change)
	case SectionRollouts:
		return d.rolloutWarnings(change)
	}
	return nil
}

func (d *describer) versionWarnings(change *Change) []string {
	before, after := d.oldIndex.Version(change.Name), d.newIndex.Version(change.Name)
	if before == nil || before.Withdrawn || (after != nil && !after.Withdrawn) {
		return nil
	}
	warnings := []string{"Version " + change.Name + " receives no new work from now on."}
	for _, cascade := range d.after.Cascades {
		if !slices.Contains(cascade.Steps, d.modelName(change.Name)) {
			continue
		}
		consequence := "are given the version in force"
		if cascade.WhenWithdrawn == FallbackRefuse {
			consequence = "are refused"
		}
		warnings = append(warnings, fmt.Sprintf("Sessions of cascade %s that keep version %s %s.", cascade.Name, change.Name, consequence))
	}
	return warnings
}

func (d *describer) cascadeWarnings(change *Change) []string {
	before, after := d.oldIndex.Cascade(change.Name), d.newIndex.Cascade(change.Name)
	switch {
	case after == nil:
		return []string{"Requests for " + change.Name + " are refused from now on."}
	case before != nil && after.QualityTarget < before.QualityTarget:
		return []string{fmt.Sprintf("Answers of cascade %s may be of lower quality than until now.", change.Name)}
	}
	return nil
}

func (d *describer) accountWarnings(change *Change) []string {
	before, after := d.oldIndex.Account(change.Name), d.newIndex.Account(change.Name)
	if before == nil {
		return nil
	}
	if after == nil {
		return []string{"Every request of client account " + change.Name + " is refused from now on."}
	}
	var warnings []string
	if lost := difference(before.KeyHashes, after.KeyHashes); len(lost) > 0 {
		warnings = append(warnings, fmt.Sprintf("Callers of %s who use %s are refused from now on.", change.Name, plural(len(lost), "removed key")))
	}
	if lost := difference(before.AllowedVersions, after.AllowedVersions); len(lost) > 0 {
		warnings = append(warnings, fmt.Sprintf("Client account %s may no longer use %s.", change.Name, strings.Join(lost, ", ")))
	}
	if lost := difference(before.AllowedServices, after.AllowedServices); len(lost) > 0 {
		warnings = append(warnings, fmt.Sprintf("Client account %s may no longer call %s.", change.Name, strings.Join(lost, ", ")))
	}
	return warnings
}

func (d *describer) serviceWarnings(change *Change) []string {
	before, after := d.oldIndex.Service(change.Name), d.newIndex.Service(change.Name)
	if before == nil {
		return nil
	}
	if after == nil {
		return []string{"Calls of plain service " + change.Name + " are refused from now on."}
	}
	var warnings []string
	for _, call := range before.NonIdempotent {
		if !slices.Contains(after.NonIdempotent, call) {
			warnings = append(warnings, fmt.Sprintf("Calls %s of %s are no longer kept from running twice, unless another entry of the list covers them.", call, change.Name))
		}
	}
	return warnings
}

func (d *describer) domainWarnings(change *Change) []string {
	after := d.newIndex.domains[change.Name]
	switch {
	case after == nil && d.oldIndex.DomainOut(change.Name):
		return []string{"A failure domain that the document does not name counts as in service: " + change.Name + " receives work again."}
	case after == nil || !after.Out || d.oldIndex.DomainOut(change.Name):
		return nil
	}
	return []string{"Failure domain " + change.Name + " receives no new work; the others must bear its share."}
}

func (d *describer) coldWarnings(change *Change) []string {
	if change.Kind != ChangeRemoved {
		return nil
	}
	return []string{"Backend servers of " + change.Name + " that have just started are no longer protected by a limit of their own."}
}

func (d *describer) rolloutWarnings(change *Change) []string {
	after := findRollout(d.after, change.Name)
	if after == nil || after.Stage != RolloutDone {
		return nil
	}
	return []string{fmt.Sprintf("All new work of model %s goes to version %s, as far as the client account may use it.", after.Model, after.To)}
}

// documentWarnings returns the consequences of all changes together.
func (d *describer) documentWarnings() []string {
	return append(d.unservedAccounts(), d.unservedTargets()...)
}

// unservedAccounts returns warnings for client accounts that a cascade served
// before but no longer can, and for cascades that no client account can use.
func (d *describer) unservedAccounts() []string {
	var warnings []string
	for _, cascade := range d.after.Cascades {
		before, after := servedAccounts(d.oldIndex, cascade.Name), servedAccounts(d.newIndex, cascade.Name)
		for _, account := range difference(before, after) {
			if d.newIndex.Account(account) != nil {
				warnings = append(warnings, fmt.Sprintf("Cascade %s can no longer answer client account %s: no version that it may use is in service.", cascade.Name, account))
			}
		}
		isNew := d.oldIndex.Cascade(cascade.Name) == nil
		if len(after) == 0 && (isNew || len(before) > 0) {
			warnings = append(warnings, fmt.Sprintf("Nobody can use cascade %s: no client account may use a version of it that is in service.", cascade.Name))
		}
	}
	return warnings
}

// servedAccounts returns the names of the client accounts that a cascade can
// serve.
func servedAccounts(index *Index, cascade string) []string {
	var served []string
	for i := range index.doc.ClientAccounts {
		if account := &index.doc.ClientAccounts[i]; canServe(index, cascade, account) {
			served = append(served, account.Name)
		}
	}
	return served
}

// canServe reports whether a client account may use at least one version of a
// cascade that is not withdrawn.
func canServe(index *Index, cascadeName string, account *ClientAccount) bool {
	cascade := index.Cascade(cascadeName)
	if cascade == nil {
		return false
	}
	for _, step := range cascade.Steps {
		if model := index.Model(step); model != nil && mayUseAnyVersion(model, account) {
			return true
		}
	}
	return false
}

func mayUseAnyVersion(model *Model, account *ClientAccount) bool {
	return slices.ContainsFunc(model.Versions, func(v Version) bool {
		return !v.Withdrawn && slices.Contains(account.AllowedVersions, v.ID)
	})
}

// unservedTargets returns warnings for the versions and plain services in use that
// lose their last live backend server in a failure domain in service.
func (d *describer) unservedTargets() []string {
	before, after := serversByTarget(d.oldIndex, d.servers), serversByTarget(d.newIndex, d.servers)
	var warnings []string
	for _, target := range sortedKeys(before) {
		version := d.newIndex.Version(target)
		inUse := (version != nil && !version.Withdrawn) || d.newIndex.Service(target) != nil
		if inUse && after[target] == 0 {
			warnings = append(warnings, fmt.Sprintf("No backend server that is alive now is left to serve %s.", target))
		}
	}
	return warnings
}

func serversByTarget(index *Index, servers []Server) map[string]int {
	counts := map[string]int{}
	for _, server := range servers {
		if index.DomainOut(server.FailureDomain) {
			continue
		}
		for _, target := range server.Serves {
			counts[target]++
		}
	}
	return counts
}

func sortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func difference(before, after []string) []string {
	var lost []string
	for _, value := range before {
		if !slices.Contains(after, value) {
			lost = append(lost, value)
		}
	}
	return lost
}

func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
