package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/routecheck"
)

const demoPath = "../../examples/demo/document.yaml"

func demo(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(demoPath)
	must.NoError(t, err)
	return string(text)
}

// run runs the check of a text on standard input.
func run(text string, args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = runCheck(append(args, "-"), strings.NewReader(text), &out, &errOut)
	return code, out.String(), errOut.String()
}

// TestCheckFindsFaultsOfDocuments guards against faults of own documents that are missed,
// reported twice, or reported at another place.
func TestCheckFindsFaultsOfDocuments(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"valid", "", "", ""},
		{"unknown key", "schema: 1", "schema: 1\ncolour: red", "error colour 2"},
		{"value out of range", "share_percent: 20", "share_percent: 200", "error rollouts[0].share_percent 40"},
		{"first token after the whole answer", "first_token_ms: 1800", "first_token_ms: 40000", "error kinds[0].first_token_ms 26"},
		{"missing model", "target: large", "target: lrge", "error cold_limits[1].target 66"},
		{"version that no account may use", "small-1, small-2", "small-1", "warning models[0].versions[1].id 9"},
		{"model that nothing refers to", "cascades:", "  - {name: old, versions: [{id: old-1, withdrawn: false, micros_per_thousand_tokens: 1, quality: 0}]}\ncascades:", "warning models[2].name 19"},
		{"prices that do not increase", "tokens: 1000", "tokens: 90", "warning cascades[0].steps[1] 21"},
		{"account without keys", "[c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c]", "[]", "warning client_accounts[0].key_hashes 45"},
		{"service that nobody may call", "[ledger]", "[]", "warning plain_services[0].name 51"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.StrContains(t, demo(t), tc.old)
			_, out, _ := run(strings.Replace(demo(t), tc.old, tc.replacement, 1), "-json")
			var report checkReport
			must.NoError(t, json.Unmarshal([]byte(out), &report))
			var found []string
			for _, f := range report.Findings {
				found = append(found, fmt.Sprintf("%s %s %d", f.Severity, f.Path, f.Line))
			}
			must.Eq(t, tc.want, strings.Join(found, "; "))
		})
	}
}

// TestCheckAgreesWithParse guards against a check of own documents that accepts what an
// instance rejects, or the reverse, over mutated documents.
func TestCheckAgreesWithParse(t *testing.T) {
	random, accepted := rand.New(rand.NewPCG(20, 26)), 0
	words := strings.Fields(demo(t))
	for range 1000 {
		lines := strings.Split(demo(t), "\n")
		for range 1 + random.IntN(2) {
			i := random.IntN(len(lines))
			old := strings.Fields(lines[i] + " -")
			lines[i] = strings.Replace(lines[i], old[random.IntN(len(old))], words[random.IntN(len(words))], 1)
		}
		text := strings.Join(lines, "\n")
		_, err := document.Parse([]byte(text))
		code, out, stderr := run(text)
		must.Eq(t, err == nil, code == 0, must.Sprint(text, out, stderr, err))
		if err == nil {
			accepted++
		}
	}
	must.Between(t, 1, accepted, 999)
}

// TestCheckExitCodes guards against scripts that take a failed check for a passed one.
func TestCheckExitCodes(t *testing.T) {
	const route = `{"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"%s","service":"s"}],"services":[{"name":"s"}]}`
	valid, warned, bad := fmt.Sprintf(route, "non_idempotent"), fmt.Sprintf(route, "idempotent"), fmt.Sprintf(route, "odd")
	invalid := filepath.Join(t.TempDir(), "invalid")
	must.NoError(t, os.WriteFile(invalid, []byte("{"), 0o600))
	cases := []struct {
		text string
		args []string
		want int
	}{
		{demo(t), nil, 0},
		{demo(t), []string{"-in-force", demoPath, "-strict"}, 0},
		{valid, []string{"-form", "platform", "-strict"}, 0},
		{warned, []string{"-form", "platform"}, 0},
		{warned, []string{"-form", "platform", "-strict"}, 1},
		{bad, []string{"-form", "platform"}, 1},
		{"{", []string{"-form", "platform", "-json"}, 1},
		{valid, nil, 1},
		{strings.Repeat("[", 1<<19), nil, 1},
		{valid, []string{"-form", "other"}, 2},
		{valid, []string{"-form", "platform", "-in-force", "nowhere"}, 2},
		{valid, []string{"-form", "platform", "-in-force", invalid}, 2},
		{valid, []string{"-form", "platform", "-in-force", "-"}, 2},
		{valid, []string{"-form", "platform", "-memory-mb", "-1"}, 2},
		{valid, []string{"-form", "platform", "-memory-mb", "8796093022208"}, 2},
		{demo(t), []string{"-in-force", invalid}, 2},
		{demo(t), []string{"-document", demoPath}, 2},
		{demo(t), []string{"-unheard"}, 2},
	}
	for _, tc := range cases {
		code, out, stderr := run(tc.text, tc.args...)
		must.Eq(t, tc.want, code, must.Sprint(tc.args, out, stderr))
		must.Eq(t, tc.want == 2, stderr != "", must.Sprint(tc.args, stderr))
		must.LessEq(t, 1, strings.Count(stderr, "not defined"), must.Sprint(stderr))
	}
	var out bytes.Buffer
	must.Zero(t, runCheck([]string{"-document", demoPath}, nil, &out, &out))
	must.Eq(t, "document is valid\n", out.String())
	must.Eq(t, 2, runCheck([]string{"-document", "nowhere"}, nil, &out, &out))
}

// TestCheckReportsChangesOfDocuments guards against removals that are listed after additions.
func TestCheckReportsChangesOfDocuments(t *testing.T) {
	text := strings.NewReplacer("total_ms: 30000", "total_ms: 40000", "total_ms: 8000", "total_ms: 7000", "small-2, large-1", "large-1").Replace(demo(t))
	_, out, _ := run(text, "-json", "-in-force", demoPath)
	var report checkReport
	must.NoError(t, json.Unmarshal([]byte(out), &report))
	must.Eq(t, []routecheck.Change{
		{Removes: true, Text: "Kind of request gate changes: longest time of the whole answer from 8000 ms (8s) to 7000 ms (7s)."},
		{Removes: true, Text: "Client account technicians changes: allowed versions: removes small-2. Client account technicians may no longer use small-2."},
		{Text: "Kind of request report changes: longest time of the whole answer from 30000 ms (30s) to 40000 ms (40s)."},
	}, report.Changes)
}
