// Package jsonlines finds the lines of values in a JSON text, for messages about them.
package jsonlines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// maxDepth is the depth of the deepest recorded values. It bounds the length of paths in
// deeply nested texts.
const maxDepth = 8

// Index holds the position of each value of a JSON text.
type Index struct {
	// newlines holds the offsets of all line ends.
	newlines []int64
	// values is in the order of the text.
	values []value
	byPath map[string]int
}

// value is the position of one value. end is the offset behind its first token, which is
// its only one unless it is an object or array.
type value struct {
	path      string
	end       int64
	composite bool
}

// New returns the index of a text. It has no values if the text is not valid.
func New(text []byte) *Index {
	x := &Index{byPath: map[string]int{}}
	for i, c := range text {
		if c == '\n' {
			x.newlines = append(x.newlines, int64(i))
		}
	}
	// Valid also bounds the depth of the recursion below.
	if !json.Valid(text) {
		return x
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	x.walk(decoder, "", 0)
	return x
}

// walk records the next value and those in it. It reports whether to go on.
func (x *Index) walk(decoder *json.Decoder, path string, depth int) bool {
	token, err := decoder.Token()
	if err != nil {
		return false
	}
	delim, composite := token.(json.Delim)
	if depth <= maxDepth {
		x.byPath[key(path)] = len(x.values)
		x.values = append(x.values, value{path, decoder.InputOffset(), composite})
	}
	if !composite {
		return true
	}
	for i := 0; decoder.More(); i++ {
		child := ""
		if delim == '{' {
			name, err := decoder.Token()
			if err != nil {
				return false
			}
			if depth < maxDepth {
				child = strings.TrimPrefix(fmt.Sprintf("%s.%v", path, name), ".")
			}
		} else if depth < maxDepth {
			child = fmt.Sprintf("%s[%d]", path, i)
		}
		if !x.walk(decoder, child, depth+1) {
			return false
		}
	}
	_, err = decoder.Token()
	return err == nil
}

// key returns the form of a path under which it is found: names of fields are decoded
// without regard to case.
func key(path string) string { return strings.ToLower(path) }

// Line returns the line of the value at a path such as routes[3].name or, if there is
// none, of the closest value that contains it. Lines start at 1; 0 is unknown.
func (x *Index) Line(path string) int {
	for {
		if i, ok := x.byPath[key(path)]; ok {
			return x.LineAt(x.values[i].end)
		}
		if path == "" {
			return 0
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// LineAt returns the line of the byte before an offset.
func (x *Index) LineAt(offset int64) int {
	return 1 + sort.Search(len(x.newlines), func(i int) bool { return x.newlines[i] >= offset-1 })
}

// PathAt returns the path of the value whose first token ends at an offset, or of the last
// value before. The offset is counted from the start of the value at the path within, or of
// the text if that is empty.
func (x *Index) PathAt(within string, offset int64) string {
	i, ok := x.byPath[key(within)]
	if !ok || !x.values[i].composite {
		return within
	}
	if within != "" {
		offset += x.values[i].end - 1
	}
	last := sort.Search(len(x.values), func(i int) bool { return x.values[i].end > offset }) - 1
	return x.values[max(last, i)].path
}
