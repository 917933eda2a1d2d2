// Package strictyaml decodes YAML into structs. Every unknown, repeated or missing
// key is an error that names the line, the field and a remedy.
//
// A struct field with a yaml tag is required unless it also has the tag
// optional:"true".
package strictyaml

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// ErrInvalid is the kind of every error of this package.
var ErrInvalid = merry.Sentinel("YAML text is invalid")

// FieldError describes an error of one field and how to correct it.
type FieldError struct {
	// Line is the line in the text, starting at 1; 0 if unknown.
	Line int
	// Field is the path of the field, such as cascades[0].steps[1].
	Field string
	// Problem says what is wrong with the field.
	Problem string
	// Remedy says how to correct it.
	Remedy string
}

// Error implements error.
func (e FieldError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s; %s", e.Line, e.Field, e.Problem, e.Remedy)
	}
	return fmt.Sprintf("%s: %s; %s", e.Field, e.Problem, e.Remedy)
}

// FieldErrors holds all errors of one text.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fieldErr := range e {
		lines[i] = fieldErr.Error()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (e FieldErrors) Is(target error) bool {
	return target == ErrInvalid
}

// Decode decodes text into the struct that out points to. The error is a
// FieldErrors or of the kind ErrInvalid.
func Decode(text []byte, out any) error {
	if err := checkNesting(text); err != nil {
		return err
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return FieldErrors{{Field: "(text)", Problem: "holds no single YAML document", Remedy: "write one document with the documented keys"}}
	}
	c := &keyChecker{}
	c.check(file.Docs[0].Body, reflect.TypeOf(out).Elem(), "")
	if len(c.errs) > 0 {
		return c.errs
	}
	if err := yaml.UnmarshalWithOptions(text, out, yaml.Strict()); err != nil {
		return syntaxError(err)
	}
	return nil
}

// syntaxError converts an error of the YAML library, whose message starts with
// the position as [line:column].
func syntaxError(err error) error {
	message := yaml.FormatError(err, false, false)
	fieldErr := FieldError{Field: "(text)", Problem: message, Remedy: "correct the text at that place"}
	if _, scanErr := fmt.Sscanf(message, "[%d:", &fieldErr.Line); scanErr != nil {
		fieldErr.Line = 0
	}
	return FieldErrors{fieldErr}
}

// keyChecker compares a syntax tree with a type and collects the errors of its
// keys and values.
type keyChecker struct {
	errs FieldErrors
}

func (c *keyChecker) fail(node ast.Node, field, problem, remedy string) {
	if field == "" {
		field = "(text)"
	}
	c.errs = append(c.errs, FieldError{Line: line(node), Field: field, Problem: problem, Remedy: remedy})
}

func line(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func (c *keyChecker) check(node ast.Node, typ reflect.Type, path string) {
	switch typ.Kind() {
	case reflect.Pointer:
		if _, isNull := node.(*ast.NullNode); !isNull {
			c.check(node, typ.Elem(), path)
		}
	case reflect.Struct:
		c.checkStruct(node, typ, path)
	case reflect.Slice:
		c.checkSlice(node, typ, path)
	default:
		c.checkScalar(node, typ, path)
	}
}

func (c *keyChecker) checkScalar(node ast.Node, typ reflect.Type, path string) {
	expected := ""
	switch typ.Kind() {
	case reflect.Bool:
		if _, ok := node.(*ast.BoolNode); !ok {
			expected = "true or false"
		}
	case reflect.Int, reflect.Int64:
		if _, ok := node.(*ast.IntegerNode); !ok {
			expected = "a whole number"
		}
	case reflect.Float64:
		if !isNumber(node) {
			expected = "a number"
		}
	case reflect.String:
		if !isText(node) {
			expected = "a text"
		}
	}
	if expected != "" {
		c.fail(node, path, "is not "+expected, "write "+expected)
	}
}

func isNumber(node ast.Node) bool {
	switch node.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		return true
	default:
		return false
	}
}

func isText(node ast.Node) bool {
	switch node.(type) {
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode:
		return true
	default:
		return false
	}
}

func (c *keyChecker) checkSlice(node ast.Node, typ reflect.Type, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		c.fail(node, path, "is no list", "write a list, or [] for none")
		return
	}
	for i, item := range sequence.Values {
		c.check(item, typ.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *keyChecker) checkStruct(node ast.Node, typ reflect.Type, path string) {
	values, ok := mappingValues(node)
	if !ok {
		c.fail(node, path, "is no mapping", "write it as key: value lines")
		return
	}
	fields := structFields(typ)
	seen := map[string]bool{}
	for _, value := range values {
		key := value.Key.GetToken().Value
		field, known := fields[key]
		switch {
		case !known:
			c.fail(value, joinPath(path, key), "is an unknown key", "remove it or correct its spelling")
		case seen[key]:
			c.fail(value, joinPath(path, key), "is given twice", "keep one of the two")
		default:
			c.check(value.Value, field.Type, joinPath(path, key))
		}
		seen[key] = true
	}
	c.checkMissing(node, typ, seen, path)
}

func (c *keyChecker) checkMissing(node ast.Node, typ reflect.Type, seen map[string]bool, path string) {
	for i := range typ.NumField() {
		field := typ.Field(i)
		key := yamlKey(field)
		if key == "" || seen[key] || field.Tag.Get("optional") == "true" {
			continue
		}
		c.fail(node, joinPath(path, key), "is missing", "add the key")
	}
}

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func structFields(typ reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range typ.NumField() {
		if key := yamlKey(typ.Field(i)); key != "" {
			fields[key] = typ.Field(i)
		}
	}
	return fields
}

func yamlKey(field reflect.StructField) string {
	key, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if key == "-" {
		return ""
	}
	return key
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
