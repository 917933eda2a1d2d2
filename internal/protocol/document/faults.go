package document

import (
	"errors"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one error of a document with the item and field that it concerns.
type Fault struct {
	// Section and Name identify the item. Name is empty if the error concerns a
	// whole section; both are empty if it concerns the document.
	Section Section
	Name    string
	// Key is the YAML key of the field, or empty.
	Key     string
	Problem string
	Remedy  string
}

// Location returns a readable name of the item and field of the error.
func (f Fault) Location() string {
	if f.Section == "" {
		return "document"
	}
	location := f.Section.Singular() + " " + f.Name
	if f.Name == "" {
		location = f.Section.Singular() + "s"
	}
	if f.Key != "" {
		location += ", " + strings.ReplaceAll(f.Key, "_", " ")
	}
	return location
}

// Error implements error.
func (f Fault) Error() string { return f.Location() + ": " + f.Problem + "; " + f.Remedy }

// Faults encodes a document, parses it as every instance does, and returns the
// errors with their items. It returns nil for a valid document.
func Faults(doc *Document) []Fault {
	text, err := Encode(doc)
	if err != nil {
		return []Fault{{Problem: err.Error(), Remedy: "correct the document"}}
	}
	_, err = Parse(text)
	if err == nil {
		return nil
	}
	var fieldErrs FieldErrors
	if !errors.As(err, &fieldErrs) {
		return []Fault{{Problem: err.Error(), Remedy: "correct the document"}}
	}
	faults := make([]Fault, 0, len(fieldErrs))
	for _, fieldErr := range fieldErrs {
		fault := locate(doc, fieldErr)
		fault.Problem = fieldPathPattern.ReplaceAllStringFunc(fault.Problem, func(path string) string {
			if located := locate(doc, FieldError{Field: path}); slices.Contains(Sections(), located.Section) {
				return located.Location()
			}
			return path
		})
		faults = append(faults, fault)
	}
	return faults
}

var (
	fieldPathPattern   = regexp.MustCompile(`\b[a-z_]+\[\d+\](?:\.[a-z_]+(?:\[\d+\])?)*`)
	itemPathPattern    = regexp.MustCompile(`^(\w+)\[(\d+)\](?:\.(\w+))?`)
	versionPathPattern = regexp.MustCompile(`^models\[(\d+)\]\.versions\[(\d+)\](?:\.(\w+))?`)
)

// locate converts an error to a Fault. It finds the item by the path of the field,
// such as cascades[0].steps[1].
func locate(doc *Document, fieldErr FieldError) Fault {
	fault := Fault{Problem: fieldErr.Problem, Remedy: fieldErr.Remedy}
	if match := versionPathPattern.FindStringSubmatch(fieldErr.Field); match != nil {
		fault.Section, fault.Key = SectionVersions, match[3]
		fault.Name = versionName(doc, parseIndex(match[1]), parseIndex(match[2]))
		return fault
	}
	match := itemPathPattern.FindStringSubmatch(fieldErr.Field)
	if match == nil {
		if section := Section(fieldErr.Field); Items(doc, section) != nil {
			fault.Section = section
		}
		return fault
	}
	fault.Section, fault.Key = Section(match[1]), match[3]
	if items := Items(doc, fault.Section); parseIndex(match[2]) < len(items) {
		fault.Name = items[parseIndex(match[2])].Name
	}
	return fault
}

func parseIndex(digits string) int {
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return n
}

func versionName(doc *Document, model, version int) string {
	if model >= len(doc.Models) || version >= len(doc.Models[model].Versions) {
		return ""
	}
	return doc.Models[model].Versions[version].ID
}
