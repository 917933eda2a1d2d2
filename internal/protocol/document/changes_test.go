package document_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/document"
)

func parseSample(t *testing.T) *document.Document {
	t.Helper()
	doc, err := document.Parse([]byte(sample))
	must.NoError(t, err)
	return doc
}

var liveServers = []document.Server{
	{FailureDomain: "wdh-a", Serves: []string{"small-1", "small-2"}},
	{FailureDomain: "wdh-a", Serves: []string{"large-1"}},
	{FailureDomain: "wdh-b", Serves: []string{"small-1"}},
}

func TestCompareDescribesChanges(t *testing.T) {
	cases := []struct {
		name   string
		change func(*document.Document)
		// want lists substrings of the texts of the description.
		want []string
	}{
		{"take a failure domain out", func(d *document.Document) {
			d.FailureDomains[0].Out, d.FailureDomains[1].Out = true, false
		}, []string{
			"Failure domain wdh-a is taken out: it receives no new work.",
			"2 backend servers alive now, which serve: large-1, small-1, small-2",
			"Failure domain wdh-b is brought back into service.",
			"No backend server that is alive now is left to serve large-1.",
			"the others must bear its share",
		}},
		{"remove a failure domain that is out", func(d *document.Document) { d.FailureDomains = d.FailureDomains[:1] }, []string{
			"Failure domain wdh-b is removed.", "wdh-b receives work again",
		}},
		{"withdraw a version", func(d *document.Document) { d.Models[0].Versions[0].Withdrawn = true }, []string{
			"Version small-1 is withdrawn: it receives no new work, not even from sessions.",
			"cascades: draft", "client accounts: technicians",
			"Sessions of cascade draft that keep version small-1 are given the version in force.",
		}},
		{"withdraw with refusal", func(d *document.Document) {
			d.Models[0].Versions[0].Withdrawn = true
			d.Cascades[0].WhenWithdrawn = document.FallbackRefuse
		}, []string{"Sessions of cascade draft that keep version small-1 are refused."}},
		{"withdraw all", func(d *document.Document) {
			d.Models[0].Versions[0].Withdrawn, d.Models[0].Versions[1].Withdrawn, d.Models[1].Versions[0].Withdrawn = true, true, true
		}, []string{
			"Cascade draft can no longer answer client account technicians",
			"Nobody can use cascade draft",
		}},
		{"halt a rollout", func(d *document.Document) { d.Rollouts[0].Stage = document.RolloutHalted }, []string{
			"Roll-out small-2-rollout is halted: all new work goes to version small-1.", "new work of model small",
		}},
		{"finish a rollout", func(d *document.Document) { d.Rollouts[0].Stage = document.RolloutDone }, []string{
			"is finished: all new work goes to version small-2.", "All new work of model small goes to version small-2",
		}},
		{"change a share", func(d *document.Document) { d.Rollouts[0].SharePercent = 50 }, []string{"share of the new version from 10 % to 50 %"}},
		{"lower a target", func(d *document.Document) { d.Cascades[0].QualityTarget = 0.5 }, []string{
			"Cascade draft changes: quality target from 0.8 to 0.5.", "may be of lower quality",
		}},
		{"remove a cascade", func(d *document.Document) { d.Cascades = nil }, []string{"Cascade draft is removed.", "Requests for draft are refused"}},
		{"revoke permissions of an account", func(d *document.Document) {
			d.ClientAccounts[0].AllowedVersions = []string{"small-1", "small-2"}
			d.ClientAccounts[0].AllowedServices = nil
			d.ClientAccounts[0].KeyHashes = nil
		}, []string{"may no longer use large-1", "may no longer call ledger", "who use 1 removed key are refused"}},
		{"add and remove allowed versions", func(d *document.Document) {
			d.ClientAccounts[0].AllowedVersions = []string{"large-1", "small-2", "tiny-1"}
		}, []string{"Client account technicians changes: allowed versions: adds tiny-1 and removes small-1."}},
		{"reorder allowed versions", func(d *document.Document) {
			d.ClientAccounts[0].AllowedVersions = []string{"small-2", "small-1", "large-1"}
		}, []string{"allowed versions from small-1, small-2, large-1 to small-2, small-1, large-1"}},
		{"change which calls may be repeated", func(d *document.Document) { d.PlainServices[0].NonIdempotent[0].PathPrefix = "/book,ings" }, []string{
			"calls that run at most once: adds POST /book,ings and removes POST /bookings",
		}},
		{"allow a service named none", func(d *document.Document) { d.ClientAccounts[0].AllowedServices = []string{"none"} }, []string{
			"allowed plain services: adds none and removes ledger",
		}},
		{"remove an account", func(d *document.Document) { d.ClientAccounts = nil }, []string{"Every request of client account technicians is refused"}},
		{"allow calls to be repeated", func(d *document.Document) { d.PlainServices[0].NonIdempotent = nil }, []string{
			"Calls POST /bookings of ledger are no longer kept from running twice",
		}},
		{"remove a cold limit", func(d *document.Document) { d.ColdLimits = nil }, []string{"no longer protected"}},
		{"change a time limit", func(d *document.Document) { d.Kinds[0].TotalMillis = 20000 }, []string{
			"from 30000 ms (30s) to 20000 ms (20s)", "every request that names this kind", "client accounts: technicians",
		}},
		{"reorder versions", func(d *document.Document) {
			v := d.Models[0].Versions
			v[0], v[1] = v[1], v[0]
		}, []string{"versions in order of use from small-1, small-2 to small-2, small-1"}},
		{"reorder a list", func(d *document.Document) {
			f := d.FailureDomains
			f[0], f[1] = f[1], f[0]
		}, []string{"Only the order of entries changes."}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			after := parseSample(t)
			tc.change(after)
			changes := document.Compare(parseSample(t), after, liveServers)
			must.False(t, changes.Empty())
			text := allTexts(changes)
			for _, want := range tc.want {
				must.StrContains(t, text, want)
			}
		})
	}
}

// allTexts joins the summaries, effects and warnings of a description.
func allTexts(changes *document.Changes) string {
	var lines []string
	for _, change := range changes.Items {
		lines = append(lines, change.Summary)
		lines = append(lines, change.Touches...)
	}
	return strings.Join(append(lines, changes.AllWarnings()...), "\n")
}

func TestCompareOfEqualDocumentsIsEmpty(t *testing.T) {
	changes := document.Compare(parseSample(t), parseSample(t), liveServers)
	must.True(t, changes.Empty())
	must.SliceEmpty(t, changes.AllWarnings())
}

func TestCompareDescribesFirstDocument(t *testing.T) {
	changes := document.Compare(nil, parseSample(t), nil)
	must.Len(t, 13, changes.Items)
	must.StrContains(t, allTexts(changes), "their number is not known")
}

// TestEveryFieldIsDescribed changes each field of the document and checks that the
// description contains the change, so that operators sign no change unseen.
func TestEveryFieldIsDescribed(t *testing.T) {
	count := len(leaves(reflect.ValueOf(parseSample(t)).Elem()))
	must.Greater(t, 30, count)
	for i := 1; i < count; i++ { // field 0 is the schema version, for which Validate allows one value only
		after := parseSample(t)
		leaf := leaves(reflect.ValueOf(after).Elem())[i]
		alter(leaf)
		changes := document.Compare(parseSample(t), after, nil)
		must.False(t, changes.Empty(), must.Sprintf("change of field %d (%v) is not described", i, leaf))
		must.NotEq(t, "Only the order of entries changes.", changes.Items[0].Summary, must.Sprintf("change of field %d (%v) is described as a reordering", i, leaf))
	}
}

// leaves returns all scalar fields of a value, in depth-first order.
func leaves(v reflect.Value) []reflect.Value {
	var found []reflect.Value
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			found = append(found, leaves(v.Field(i))...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			found = append(found, leaves(v.Index(i))...)
		}
	default:
		found = append(found, v)
	}
	return found
}

func alter(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Float64:
		v.SetFloat(v.Float() + 0.000001)
	default:
		v.SetInt(v.Int() + 1)
	}
}

func TestMerge(t *testing.T) {
	target := func(target float64) func(*document.Document) {
		return func(d *document.Document) { d.Cascades[0].QualityTarget = target }
	}
	addVersion := func(model int, id string) func(*document.Document) {
		return func(d *document.Document) {
			d.Models[model].Versions = append(d.Models[model].Versions, document.Version{ID: id, Quality: 0.5})
		}
	}
	cases := []struct {
		name         string
		theirs, mine func(*document.Document)
		conflict     string
		check        func(*document.Document) bool
	}{
		{"different items", target(0.7), func(d *document.Document) { d.FailureDomains[1].Out = false }, "", func(d *document.Document) bool {
			return d.Cascades[0].QualityTarget == 0.7 && !d.FailureDomains[1].Out
		}},
		{"same change", target(0.7), target(0.7), "", func(d *document.Document) bool { return d.Cascades[0].QualityTarget == 0.7 }},
		{"same item", target(0.7), target(0.9), "draft", func(d *document.Document) bool { return d.Cascades[0].QualityTarget == 0.7 }},
		{"both add", addVersion(0, "small-3"), addVersion(0, "small-4"), "", func(d *document.Document) bool {
			return len(d.Models[0].Versions) == 4 && d.Models[0].Versions[3].ID == "small-4"
		}},
		{"both add one name", addVersion(0, "small-3"), func(d *document.Document) {
			d.Models[0].Versions = append(d.Models[0].Versions, document.Version{ID: "small-3", Quality: 0.9})
		}, "small-3", func(d *document.Document) bool { return d.Models[0].Versions[2].Quality == 0.5 }},
		{"they remove, I edit", func(d *document.Document) { d.ColdLimits = nil }, func(d *document.Document) { d.ColdLimits[0].MaxInFlight = 9 }, "small", func(d *document.Document) bool {
			return len(d.ColdLimits) == 0
		}},
		{"I remove, they edit", func(d *document.Document) { d.ColdLimits[0].MaxInFlight = 9 }, func(d *document.Document) { d.ColdLimits = nil }, "small", func(d *document.Document) bool {
			return d.ColdLimits[0].MaxInFlight == 9
		}},
		{"I remove a model, they leave it", target(0.7), func(d *document.Document) { d.Models = d.Models[:1] }, "", func(d *document.Document) bool {
			return len(d.Models) == 1
		}},
		{"I remove a model, they edit it", addVersion(1, "large-2"), func(d *document.Document) { d.Models = d.Models[:1] }, "large", func(d *document.Document) bool {
			return len(d.Models) == 2
		}},
		{"I add a model", target(0.7), func(d *document.Document) { d.Models = append(d.Models, document.Model{Name: "tiny"}) }, "", func(d *document.Document) bool {
			return d.Models[2].Name == "tiny"
		}},
		{"I reorder, they add", addVersion(0, "small-3"), func(d *document.Document) {
			v := d.Models[0].Versions
			v[0], v[1] = v[1], v[0]
		}, "", func(d *document.Document) bool {
			v := d.Models[0].Versions
			return v[0].ID == "small-2" && v[1].ID == "small-1" && v[2].ID == "small-3"
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			base, theirs, mine := parseSample(t), parseSample(t), parseSample(t)
			tc.theirs(theirs)
			tc.mine(mine)
			merged, conflicts := document.Merge(base, theirs, mine)
			must.True(t, tc.check(merged))
			if tc.conflict == "" {
				must.SliceEmpty(t, conflicts)
				return
			}
			must.Len(t, 1, conflicts)
			must.Eq(t, tc.conflict, conflicts[0].Name)
			must.NotEq(t, conflicts[0].Theirs, conflicts[0].Mine)
		})
	}
}

func TestFaultsNameItemAndField(t *testing.T) {
	cases := []struct {
		change func(*document.Document)
		want   string
	}{
		{func(d *document.Document) { d.Cascades[0].Steps[1] = "huge" }, `cascade draft, steps: names no model: "huge"; use the name of a model in models`},
		{func(d *document.Document) { d.Models[1].Versions[0].Quality = 2 }, "version large-1, quality: is 2; use a number from 0 to 1"},
		{func(d *document.Document) { d.FailureDomains[0].Out = true }, "failure domains: all are out; leave at least one in service"},
		{func(d *document.Document) { d.Schema = 3 }, "document: is 3; set it to 1"},
		{func(d *document.Document) { d.PlainServices[0].NonIdempotent[0].PathPrefix = "/a\u202e" }, "plain service ledger, non idempotent: is"},
		{func(d *document.Document) { d.PlainServices[0].NonIdempotent[0].Method = "P ST" }, "use an HTTP method in capitals"},
	}
	must.SliceEmpty(t, document.Faults(parseSample(t)))
	for _, tc := range cases {
		doc := parseSample(t)
		tc.change(doc)
		faults := document.Faults(doc)
		must.Len(t, 1, faults)
		must.StrContains(t, faults[0].Error(), tc.want)
	}
}
