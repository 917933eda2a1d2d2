package document

import (
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"medlarslip/internal/protocol/strictyaml"
)

// MaxBytes bounds the size of a document in bytes.
const MaxBytes = 1 << 20

// ErrInvalid is the kind of all errors in the content of a document.
var ErrInvalid = strictyaml.ErrInvalid

// FieldError describes an error of one field and how to correct it.
type FieldError = strictyaml.FieldError

// FieldErrors holds all errors of one document.
type FieldErrors = strictyaml.FieldErrors

// Parse decodes and validates a document. Unknown, repeated and missing keys are
// errors that name the line, the field and a remedy. The error is of the kind
// ErrInvalid.
func Parse(text []byte) (*Document, error) {
	doc, err := Decode(text)
	if err != nil {
		return nil, err
	}
	if err := Validate(doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// Decode decodes a document strictly, without the checks of Validate. The error is
// of the kind ErrInvalid.
func Decode(text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, FieldErrors{{
			Field:   "(text)",
			Problem: fmt.Sprintf("has %d bytes", len(text)),
			Remedy:  fmt.Sprintf("keep it under %d", MaxBytes),
		}}
	}
	var doc Document
	if err := strictyaml.Decode(text, &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

// Encode returns the YAML text of a document in the form that is signed.
func Encode(doc *Document) ([]byte, error) {
	text, err := yaml.MarshalWithOptions(doc, yaml.Indent(2))
	if err != nil {
		return nil, merry.Prepend(err, "encode configuration document")
	}
	return text, nil
}
