package strictyaml_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/strictyaml"
)

type part struct {
	Size int `yaml:"size"`
}

type sample struct {
	Name  string  `yaml:"name"`
	Share float64 `yaml:"share"`
	Ready bool    `yaml:"ready"`
	Parts []part  `yaml:"parts"`
	Extra *part   `yaml:"extra" optional:"true"`
}

const validText = "name: a\nshare: 0.5\nready: true\nparts: [{size: 1}]\n"

func TestDecodeAcceptsValidText(t *testing.T) {
	cases := []struct {
		name, text string
		extra      *part
	}{
		{"optional key left out", validText, nil},
		{"optional key null", validText + "extra: null\n", nil},
		{"optional key given", validText + "extra: {size: 2}\n", &part{Size: 2}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got sample
			must.NoError(t, strictyaml.Decode([]byte(tc.text), &got))
			must.Eq(t, sample{Name: "a", Share: 0.5, Ready: true, Parts: []part{{Size: 1}}, Extra: tc.extra}, got)
		})
	}
}

func TestDecodeNamesLineFieldAndRemedy(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", validText + "colour: red\n", "line 5: colour: is an unknown key; remove it or correct its spelling"},
		{"unknown nested key", "name: a\nshare: 1\nready: true\nparts:\n  - size: 1\n    hue: 2\n", "line 6: parts[0].hue: is an unknown key"},
		{"missing key", "name: a\nshare: 1\nready: true\n", "line 1: parts: is missing; add the key"},
		{"missing key of an optional struct", validText + "extra: {}\n", "line 5: extra.size: is missing; add the key"},
		{"text for a number", "name: a\nshare: much\nready: true\nparts: []\n", "line 2: share: is not a number; write a number"},
		{"number for a boolean", "name: a\nshare: 1\nready: 7\nparts: []\n", "line 3: ready: is not true or false"},
		{"fraction for an integer", "name: a\nshare: 1\nready: true\nparts: [{size: 1.5}]\n", "line 4: parts[0].size: is not a whole number"},
		{"mapping for a list", "name: a\nshare: 1\nready: true\nparts: {size: 1}\n", "parts: is no list; write a list, or [] for none"},
		{"text for a mapping", validText + "extra: much\n", "line 5: extra: is no mapping"},
		{"empty text", "", "holds no single YAML document"},
		{"two documents", validText + "---\n" + validText, "holds no single YAML document"},
		{"invalid YAML", "name: [", "line 1"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var got sample
			err := strictyaml.Decode([]byte(tc.text), &got)
			must.ErrorIs(t, err, strictyaml.ErrInvalid)
			must.StrContains(t, err.Error(), tc.want)
			var faults strictyaml.FieldErrors
			must.True(t, errors.As(err, &faults))
		})
	}
}

// FuzzDecode checks that no text causes a panic, and that every text that is
// decoded contains the required key parts.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte("name: &a [*a]\n"))
	f.Add([]byte("? [a]\n: b\n"))
	f.Add([]byte("- name\n---\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got sample
		if err := strictyaml.Decode(text, &got); err != nil {
			must.ErrorIs(t, err, strictyaml.ErrInvalid)
			return
		}
		must.StrContains(t, string(text), "parts")
	})
}
