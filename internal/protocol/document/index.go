package document

// Index looks up items of an immutable document. It is safe for concurrent use.
type Index struct {
	doc      *Document
	versions map[string]versionEntry
	models   map[string]*Model
	cascades map[string]*Cascade
	kinds    map[string]*Kind
	accounts map[string]*ClientAccount
	byKey    map[string]*ClientAccount
	services map[string]*PlainService
	domains  map[string]*FailureDomain
	cold     map[string]*ColdLimit
}

type versionEntry struct {
	model   *Model
	version *Version
}

// NewIndex returns the index of a validated document, which must not be changed
// afterwards.
func NewIndex(doc *Document) *Index {
	x := &Index{
		doc:      doc,
		versions: map[string]versionEntry{},
		models:   indexBy(doc.Models, func(m *Model) string { return m.Name }),
		cascades: indexBy(doc.Cascades, func(c *Cascade) string { return c.Name }),
		kinds:    indexBy(doc.Kinds, func(k *Kind) string { return k.Name }),
		accounts: indexBy(doc.ClientAccounts, func(a *ClientAccount) string { return a.Name }),
		byKey:    map[string]*ClientAccount{},
		services: indexBy(doc.PlainServices, func(s *PlainService) string { return s.Name }),
		domains:  indexBy(doc.FailureDomains, func(d *FailureDomain) string { return d.Name }),
		cold:     indexBy(doc.ColdLimits, func(c *ColdLimit) string { return c.Target }),
	}
	for _, model := range x.models {
		for i := range model.Versions {
			x.versions[model.Versions[i].ID] = versionEntry{model: model, version: &model.Versions[i]}
		}
	}
	for _, account := range x.accounts {
		for _, hash := range account.KeyHashes {
			x.byKey[hash] = account
		}
	}
	return x
}

func indexBy[T any](items []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(items))
	for i := range items {
		index[name(&items[i])] = &items[i]
	}
	return index
}

// Document returns the indexed document; it must not be changed.
func (x *Index) Document() *Document { return x.doc }

// Version returns the version with the given ID, or nil.
func (x *Index) Version(id string) *Version { return x.versions[id].version }

// ModelOf returns the model that a version belongs to, or nil.
func (x *Index) ModelOf(versionID string) *Model { return x.versions[versionID].model }

// Model returns the model of the given name, or nil.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Cascade returns the cascade of the given name, or nil.
func (x *Index) Cascade(name string) *Cascade { return x.cascades[name] }

// Kind returns the kind of the given name, or nil.
func (x *Index) Kind(name string) *Kind { return x.kinds[name] }

// Account returns the client account of the given name, or nil.
func (x *Index) Account(name string) *ClientAccount { return x.accounts[name] }

// AccountByKeyHash returns the client account that owns the API key with the
// given hash, or nil.
func (x *Index) AccountByKeyHash(hash string) *ClientAccount { return x.byKey[hash] }

// Service returns the plain service of the given name, or nil.
func (x *Index) Service(name string) *PlainService { return x.services[name] }

// DomainOut reports whether operators have taken the failure domain out. A
// failure domain that the document does not contain counts as in service.
func (x *Index) DomainOut(name string) bool {
	domain := x.domains[name]
	return domain != nil && domain.Out
}

// ColdLimit returns the cold limit of a model or plain service, or nil.
func (x *Index) ColdLimit(target string) *ColdLimit { return x.cold[target] }

// RolloutOf returns the rollout of a model that is not done, or nil.
func (x *Index) RolloutOf(model string) *Rollout {
	for i := range x.doc.Rollouts {
		rollout := &x.doc.Rollouts[i]
		if rollout.Model == model && rollout.Stage != RolloutDone {
			return rollout
		}
	}
	return nil
}
