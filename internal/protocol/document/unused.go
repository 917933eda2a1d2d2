package document

import (
	"fmt"
	"slices"
)

// Warnings returns the entries of a valid document that have no effect, and the values that
// contradict others, each with its field and a remedy. Instances accept such a document.
func Warnings(doc *Document) FieldErrors {
	w := &validator{doc: doc, index: NewIndex(doc)}
	w.warnOfModels()
	w.warnOfCascades()
	for i, account := range doc.ClientAccounts {
		if len(account.KeyHashes) == 0 {
			w.fail(fmt.Sprintf("client_accounts[%d].key_hashes", i), "is empty: no request can be one of account "+account.Name, "add the hash of a key, or remove the account")
		}
	}
	for i, service := range doc.PlainServices {
		if !w.anyAccount(func(a *ClientAccount) bool { return slices.Contains(a.AllowedServices, service.Name) }) {
			w.fail(fmt.Sprintf("plain_services[%d].name", i), fmt.Sprintf("no client account may call %q", service.Name), "allow it to an account, or remove it")
		}
	}
	return w.errs
}

func (v *validator) anyAccount(condition func(*ClientAccount) bool) bool {
	for i := range v.doc.ClientAccounts {
		if condition(&v.doc.ClientAccounts[i]) {
			return true
		}
	}
	return false
}

func (v *validator) warnOfModels() {
	for i := range v.doc.Models {
		model := &v.doc.Models[i]
		inCascade := slices.ContainsFunc(v.doc.Cascades, func(c Cascade) bool { return slices.Contains(c.Steps, model.Name) })
		if !inCascade && !v.anyAccount(func(a *ClientAccount) bool { return mayUseAnyVersion(model, a) }) {
			v.fail(fmt.Sprintf("models[%d].name", i), fmt.Sprintf("no cascade and no client account refers to model %q", model.Name), "use it in a cascade, allow a version of it to an account, or remove it")
			continue
		}
		for j, version := range model.Versions {
			if !version.Withdrawn && !v.anyAccount(func(a *ClientAccount) bool { return slices.Contains(a.AllowedVersions, version.ID) }) {
				v.fail(fmt.Sprintf("models[%d].versions[%d].id", i, j), fmt.Sprintf("no client account may use version %q", version.ID), "allow it to an account, or withdraw it")
			}
		}
	}
}

func (v *validator) warnOfCascades() {
	for i, cascade := range v.doc.Cascades {
		field := fmt.Sprintf("cascades[%d]", i)
		if len(servedAccounts(v.index, cascade.Name)) == 0 {
			v.fail(field+".name", fmt.Sprintf("no client account may use a version in service of cascade %q", cascade.Name), "allow a version of its models to an account, or remove it")
		}
		for j := 1; j < len(cascade.Steps); j++ {
			price, ok := v.lowestPrice(cascade.Steps[j])
			former, formerOK := v.lowestPrice(cascade.Steps[j-1])
			if ok && formerOK && price <= former {
				v.fail(fmt.Sprintf("%s.steps[%d]", field, j), fmt.Sprintf("model %q costs no more than the step before it, %q", cascade.Steps[j], cascade.Steps[j-1]), "list the steps cheapest first, or correct the prices")
			}
		}
	}
}

// lowestPrice returns the lowest price of the versions of a model that are in service.
func (v *validator) lowestPrice(name string) (int64, bool) {
	lowest, found := int64(0), false
	for _, version := range v.index.Model(name).Versions {
		if !version.Withdrawn && (!found || version.MicrosPerThousandTokens < lowest) {
			lowest, found = version.MicrosPerThousandTokens, true
		}
	}
	return lowest, found
}
