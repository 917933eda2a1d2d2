package strictyaml

import (
	"bytes"
	"fmt"
)

const (
	// maxIndent limits the columns before the content of a line.
	maxIndent = 128
	// maxFlowDepth limits the number of brackets open at one time.
	maxFlowDepth = 64
	// indentBytes are the bytes that may precede the content of a line: spaces,
	// tabs and the indicators that open a nested block on the same line.
	indentBytes = " \t-?:"
)

// checkNesting rejects deeply nested text before it is parsed, because the
// parsing time of the YAML library grows with the square of the depth. It counts
// brackets in quoted strings too, so it may reject a text whose strings contain
// more than maxFlowDepth open brackets.
func checkNesting(text []byte) error {
	depth, number := 0, 0
	for line := range bytes.Lines(text) {
		number++
		if len(line)-len(bytes.TrimLeft(line, indentBytes)) > maxIndent {
			return nestingError(number, fmt.Sprintf("is indented by more than %d columns", maxIndent))
		}
		for _, c := range line {
			switch c {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(depth-1, 0)
			}
			if depth > maxFlowDepth {
				return nestingError(number, fmt.Sprintf("has more than %d open brackets", maxFlowDepth))
			}
		}
	}
	return nil
}

func nestingError(line int, problem string) error {
	return FieldErrors{{Line: line, Field: "(text)", Problem: problem, Remedy: "write the documented keys without deeper nesting"}}
}
