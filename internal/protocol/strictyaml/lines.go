package strictyaml

import (
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// WithLines returns the errors with the line of their field in text, or of the closest
// item that contains it, where they have none and the text can be parsed.
func WithLines(text []byte, errs FieldErrors) FieldErrors {
	// Errors of the text as a whole have no place in it; such a text may be too long to parse.
	placed := slices.ContainsFunc(errs, func(e FieldError) bool { return e.Line == 0 && e.Field != "(text)" })
	if !placed || checkNesting(text) != nil {
		return errs
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil || len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return errs
	}
	lines := map[string]int{}
	addLines(lines, file.Docs[0].Body, "")
	located := make(FieldErrors, len(errs))
	for i, fieldErr := range errs {
		for path := fieldErr.Field; fieldErr.Line == 0 && path != ""; path = path[:max(strings.LastIndexAny(path, ".["), 0)] {
			fieldErr.Line = lines[path]
		}
		located[i] = fieldErr
	}
	return located
}

// addLines records the lines of the values in a node by their paths.
func addLines(lines map[string]int, node ast.Node, path string) {
	if sequence, ok := node.(*ast.SequenceNode); ok {
		for i, item := range sequence.Values {
			itemPath := fmt.Sprintf("%s[%d]", path, i)
			lines[itemPath] = line(item)
			addLines(lines, item, itemPath)
		}
	}
	values, _ := mappingValues(node)
	for _, value := range values {
		valuePath := joinPath(path, value.Key.GetToken().Value)
		lines[valuePath] = line(value)
		addLines(lines, value.Value, valuePath)
	}
}
