package console

import (
	"slices"

	"medlarslip/internal/protocol/document"
)

const (
	keyPrice   = "micros_per_thousand_tokens"
	keyQuality = "quality"
	// keyFirstVersion is the key of the field for the ID of the first version
	// of a new model.
	keyFirstVersion = "first_version"
)

func modelSection() *section {
	return listSection[document.Model]{
		items:     func(doc *document.Document) *[]document.Model { return &doc.Models },
		name:      func(m *document.Model) *string { return &m.Name },
		nameField: nameField,
		fields:    modelFields,
		read:      readModel,
	}.section(document.SectionModels, "Models", "A model has one or more versions. Outside a roll-out, new work goes to the first version in the order that is in service and that the client account may use.")
}

func modelFields(_ *document.Document, m *document.Model, isNew bool) []field {
	if isNew {
		first := field{Key: keyFirstVersion, Label: "ID of its first version", Hint: "The model name that the engines know.", Kind: inputText}
		return []field{first, priceField(0), qualityField(0)}
	}
	return []field{{
		Key: "versions", Label: "Order of use of its versions", Kind: inputOrder,
		Hint:    "Name each version once. Versions are added and removed on the page Versions.",
		Options: options(versionIDs(m)), Values: versionIDs(m),
	}}
}

func versionIDs(m *document.Model) []string {
	ids := make([]string, 0, len(m.Versions))
	for _, version := range m.Versions {
		ids = append(ids, version.ID)
	}
	return ids
}

func readModel(_ *document.Document, m *document.Model, v *formValues, isNew bool) {
	if isNew {
		version := document.Version{ID: v.text(keyFirstVersion)}
		readVersionNumbers(&version, v)
		m.Versions = []document.Version{version}
		return
	}
	order := v.nonEmpty("versions")
	if !isPermutation(order, versionIDs(m)) {
		v.addFault("versions", "the order does not name each version exactly once", "choose each version once")
		return
	}
	slices.SortStableFunc(m.Versions, func(a, b document.Version) int {
		return slices.Index(order, a.ID) - slices.Index(order, b.ID)
	})
}

func isPermutation(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

func priceField(price int64) field {
	return field{
		Key: keyPrice, Label: "Price", Unit: "millionths of the billing currency per thousand tokens",
		Hint: "Prompt and answer count alike.", Kind: inputNumber, Values: formatInteger(price),
	}
}

func qualityField(quality float64) field {
	return field{
		Key: keyQuality, Label: "Expected quality", Unit: "0 to 1",
		Hint: "The rating that its answers are expected to get before ratings are known.", Kind: inputDecimal, Values: formatDecimal(quality),
	}
}

func readVersionNumbers(version *document.Version, v *formValues) {
	version.MicrosPerThousandTokens = v.integer(keyPrice)
	version.Quality = v.decimal(keyQuality)
}

func versionSection() *section {
	return &section{
		ID:     document.SectionVersions,
		Title:  "Versions",
		Intro:  "A version that is withdrawn receives no new work, not even from sessions that keep it. A version that no account allows may be removed once no roll-out names it.",
		fields: versionFields,
		write:  writeVersion,
		remove: removeVersion,
	}
}

func findVersion(doc *document.Document, id string) (*document.Model, *document.Version) {
	for i := range doc.Models {
		for j := range doc.Models[i].Versions {
			if doc.Models[i].Versions[j].ID == id {
				return &doc.Models[i], &doc.Models[i].Versions[j]
			}
		}
	}
	return nil, nil
}

func versionFields(doc *document.Document, id string) []field {
	model, version := findVersion(doc, id)
	if version == nil {
		choices := field{Key: "model", Label: "Model", Kind: inputSelect, Options: options(itemNames(doc, document.SectionModels))}
		return []field{idField(doc), choices, stateField(false), priceField(0), qualityField(0)}
	}
	return []field{
		{Key: "id", Label: "ID", Kind: inputFixed, Values: []string{id}},
		{Key: "model", Label: "Model", Kind: inputFixed, Values: []string{model.Name}},
		stateField(version.Withdrawn),
		priceField(version.MicrosPerThousandTokens),
		qualityField(version.Quality),
	}
}

const (
	valueYes = "yes"
	valueNo  = "no"
)

func stateField(withdrawn bool) field {
	return field{
		Key: "withdrawn", Label: "State", Kind: inputSelect, Values: []string{yesNo(withdrawn)},
		Options: []option{{Value: valueNo, Label: "in service"}, {Value: valueYes, Label: "withdrawn: receives no new work"}},
	}
}

func yesNo(b bool) string {
	if b {
		return valueYes
	}
	return valueNo
}

// yesOrNo reports whether a field with the choices yes and no is yes. Another
// value is a fault.
func (v *formValues) yesOrNo(key string) bool {
	value := v.text(key)
	if value != valueYes && value != valueNo {
		v.addFault(key, "nothing is chosen", "choose one of the two states")
	}
	return value == valueYes
}

func writeVersion(doc *document.Document, id string, v *formValues) string {
	if id != "" {
		if _, version := findVersion(doc, id); version != nil {
			version.Withdrawn = v.yesOrNo("withdrawn")
			readVersionNumbers(version, v)
		}
		return id
	}
	version := document.Version{ID: v.text("id"), Withdrawn: v.yesOrNo("withdrawn")}
	readVersionNumbers(&version, v)
	for i := range doc.Models {
		if doc.Models[i].Name == v.text("model") {
			doc.Models[i].Versions = append(doc.Models[i].Versions, version)
			return version.ID
		}
	}
	v.addFault("model", "names no model", "choose a model; add it first on the page Models")
	return version.ID
}

func removeVersion(doc *document.Document, id string) {
	for i := range doc.Models {
		m := &doc.Models[i]
		m.Versions = slices.DeleteFunc(m.Versions, func(v document.Version) bool { return v.ID == id })
	}
}
