package strictyaml_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/strictyaml"
)

func TestDecodeRejectsDeepNestingBeforeParsing(t *testing.T) {
	const depth = 200_000 // the YAML library takes minutes to parse each of these texts
	cases := []struct{ name, text, want string }{
		{"sequences on one line", strings.Repeat("- ", depth) + "a", "line 1: (text): is indented"},
		{"keys on one line", strings.Repeat("? ", depth) + "a", "line 1: (text): is indented"},
		{"open brackets", "a: 1\nb: " + strings.Repeat("[", depth), "line 2: (text): has more than 64 open brackets"},
		{"open braces over lines", strings.Repeat("{\n", depth), "line 65: (text): has more than 64 open brackets"},
		{"deep indentation", "a:\n" + strings.Repeat(" ", depth) + "b: 1", "line 2: (text): is indented"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var out struct {
				A int `yaml:"a"`
			}
			err := strictyaml.Decode([]byte(tc.text), &out)
			must.ErrorIs(t, err, strictyaml.ErrInvalid)
			must.StrContains(t, err.Error(), tc.want)
		})
	}
}

func TestDecodeAcceptsOrdinaryNesting(t *testing.T) {
	var out struct {
		A []string `yaml:"a"`
	}
	text := "a:\n" + strings.Repeat("  - \"{key}[0]\"\n", 500)
	must.NoError(t, strictyaml.Decode([]byte(text), &out))
	must.Len(t, 500, out.A)
}
