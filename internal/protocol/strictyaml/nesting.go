package strictyaml

import (
	"bytes"
	"fmt"
)

const (
	// maxIndent bounds the columns before the content of a line.
	maxIndent = 128
	// maxFlowDepth bounds the brackets that are open at one time.
	maxFlowDepth = 64
	// indentBytes are the bytes that open a nested block on the same line.
	indentBytes = " \t-?:"
)

// checkNesting rejects deeply nested text before it is parsed, because the
// time that the YAML library takes grows with the square of the depth. Its
// count of brackets passes over quotes, so that it may reject a text whose
// strings hold very many open brackets.
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
