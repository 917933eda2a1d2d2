package console

import (
	"slices"
	"strconv"
	"strings"

	"medlarslip/internal/protocol/document"
)

// section describes the forms for the items of one list of the document.
type section struct {
	ID    document.Section
	Title string
	Intro string
	// fields returns the fields of the named item, or of a new one if the name
	// is empty.
	fields func(doc *document.Document, name string) []field
	// write changes the named item, or adds a new one if the name is empty. It
	// returns the name of the item.
	write func(doc *document.Document, name string, v *formValues) string
	// remove deletes the named item.
	remove func(doc *document.Document, name string)
}

// listSection describes a list whose items have a name. section converts it.
type listSection[T any] struct {
	items func(*document.Document) *[]T
	// name returns a pointer to the name of an item.
	name func(*T) *string
	// nameField returns the field for the name of a new item.
	nameField func(*document.Document) field
	fields    func(*document.Document, *T, bool) []field
	read      func(*document.Document, *T, *formValues, bool)
	defaults  T
}

func (l listSection[T]) find(doc *document.Document, name string) *T {
	items := *l.items(doc)
	for i := range items {
		if *l.name(&items[i]) == name {
			return &items[i]
		}
	}
	return nil
}

func (l listSection[T]) allFields(doc *document.Document, name string) []field {
	item, isNew := l.find(doc, name), name == ""
	if item == nil {
		defaultItem := l.defaults
		item = &defaultItem
	}
	nameField := l.nameField(doc)
	if !isNew {
		nameField = field{Key: nameField.Key, Label: nameField.Label, Kind: inputFixed, Values: []string{name}}
	}
	return append([]field{nameField}, l.fields(doc, item, isNew)...)
}

func (l listSection[T]) write(doc *document.Document, name string, v *formValues) string {
	if name != "" {
		if item := l.find(doc, name); item != nil {
			l.read(doc, item, v, false)
		}
		return name
	}
	item := l.defaults
	*l.name(&item) = v.text(l.nameField(doc).Key)
	l.read(doc, &item, v, true)
	items := l.items(doc)
	*items = append(*items, item)
	return *l.name(&item)
}

func (l listSection[T]) remove(doc *document.Document, name string) {
	items := l.items(doc)
	*items = slices.DeleteFunc(*items, func(item T) bool { return *l.name(&item) == name })
}

func (l listSection[T]) section(id document.Section, title, intro string) *section {
	return &section{ID: id, Title: title, Intro: intro, fields: l.allFields, write: l.write, remove: l.remove}
}

const nameHint = "1 to 64 letters, digits, dots, dashes or underscores. It cannot be changed later."

func nameField(*document.Document) field {
	return field{Key: "name", Label: "Name", Hint: nameHint, Kind: inputText}
}

func idField(*document.Document) field {
	return field{Key: "id", Label: "ID", Hint: nameHint, Kind: inputText}
}

// sections returns all sections in the order of the menu.
func sections() []*section {
	return []*section{
		domainSection(), versionSection(), modelSection(), rolloutSection(), cascadeSection(),
		accountSection(), kindSection(), serviceSection(), coldSection(),
	}
}

func findSection(id string) *section {
	for _, s := range sections() {
		if string(s.ID) == id {
			return s
		}
	}
	return nil
}

// formFields returns the fields of an item with the options of its values
// selected.
func (s *section) formFields(doc *document.Document, name string) []field {
	fields := s.fields(doc, name)
	for i := range fields {
		f := &fields[i]
		isNumber := f.Kind == inputNumber || f.Kind == inputDecimal
		// A new item has no default of 0: the operator has to enter the number.
		if name == "" && isNumber && f.Value() == "0" {
			f.Values = nil
		}
		f.selectOptions()
	}
	return fields
}

// fieldKey returns the key of the field that a fault belongs to, or empty if the
// fault is in another item.
func (s *section) fieldKey(fault document.Fault, item string, v *formValues) string {
	if fault.Section == s.ID && fault.Name == item {
		return fault.Key
	}
	// The form of a new model includes its first version.
	inFirstVersion := s.ID == document.SectionModels && fault.Section == document.SectionVersions && fault.Name == v.text(keyFirstVersion)
	if inFirstVersion && fault.Key == "id" {
		return keyFirstVersion
	}
	if inFirstVersion {
		return fault.Key
	}
	return ""
}

func itemNames(doc *document.Document, id document.Section) []string {
	items := document.Items(doc, id)
	found := make([]string, 0, len(items))
	for _, item := range items {
		found = append(found, item.Name)
	}
	return found
}

func formatInteger(n int64) []string { return []string{strconv.FormatInt(n, 10)} }

func formatDecimal(f float64) []string { return []string{strconv.FormatFloat(f, 'f', -1, 64)} }

func joinLines(lines []string) []string { return []string{strings.Join(lines, "\n")} }
