package document_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/document"
)

const sample = `schema: 1
models:
  - name: small
    versions:
      - id: small-1
        withdrawn: false
        micros_per_thousand_tokens: 100
        quality: 0.7
      - id: small-2
        withdrawn: false
        micros_per_thousand_tokens: 90
        quality: 0.7
  - name: large
    versions:
      - id: large-1
        withdrawn: false
        micros_per_thousand_tokens: 1000
        quality: 0.95
cascades:
  - name: draft
    steps: [small, large]
    quality_target: 0.8
    when_withdrawn: reassign
kinds:
  - name: report
    first_token_ms: 1800
    total_ms: 30000
    priority: 10
    latency_weight: 0.2
rollouts:
  - id: small-2-rollout
    model: small
    from: small-1
    to: small-2
    share_percent: 10
    stage: active
client_accounts:
  - name: technicians
    key_hashes: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]
    allowed_versions: [small-1, small-2, large-1]
    allowed_services: [ledger]
    default_kind: report
    max_in_flight: 100
plain_services:
  - name: ledger
    timeout_ms: 5000
    non_idempotent:
      - method: POST
        path_prefix: /bookings
    status_path: /bookings/{key}
failure_domains:
  - name: wdh-a
    out: false
  - name: wdh-b
    out: true
cold_limits:
  - target: small
    max_in_flight: 2
    warm_after_requests: 20
`

func TestParseAcceptsWholeDocument(t *testing.T) {
	doc, err := document.Parse([]byte(sample))
	must.NoError(t, err)
	text, err := document.Encode(doc)
	must.NoError(t, err)
	reparsed, err := document.Parse(text)
	must.NoError(t, err)
	must.Eq(t, doc, reparsed)
}

func TestParseNamesFieldAndRemedy(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"unknown key", "schema: 1", "schema: 1\ncolour: red", "line 2: colour: is an unknown key; remove it or correct its spelling"},
		{"missing key", "    quality_target: 0.8\n", "", "cascades[0].quality_target: is missing; add the key"},
		{"key given twice", "    timeout_ms: 5000\n", "    timeout_ms: 5000\n    timeout_ms: 6000\n", "timeout_ms"},
		{"wrong type", "total_ms: 30000", "total_ms: soon", "line 27: kinds[0].total_ms: is not a whole number; write a whole number"},
		{"wrong schema", "schema: 1", "schema: 7", "schema: is 7; set it to 1"},
		{"step without model", "steps: [small, large]", "steps: [small, huge]", `cascades[0].steps[1]: names no model: "huge"`},
		{"unknown version", "allowed_versions: [small-1", "allowed_versions: [small-9", `client_accounts[0].allowed_versions[0]: names no version: "small-9"`},
		{"unhashed key", "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae", "secret", "client_accounts[0].key_hashes[0]: is no hex SHA-256 hash"},
		{"all domains out", "out: false", "out: true", "failure_domains: all are out; leave at least one in service"},
		{"share out of range", "share_percent: 10", "share_percent: 110", "rollouts[0].share_percent: is 110; use a number from 0 to 100"},
		{"rollout to the same version", "to: small-2", "to: small-1", "rollouts[0].to: is the same version as from"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(sample, tc.old, tc.new, 1)
			must.StrContains(t, sample, tc.old)
			_, err := document.Parse([]byte(text))
			must.ErrorIs(t, err, document.ErrInvalid)
			must.StrContains(t, err.Error(), tc.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("schema: 1"))
	f.Add([]byte("- 1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := document.Parse(text)
		if err != nil {
			return
		}
		encoded, err := document.Encode(doc)
		must.NoError(t, err)
		_, err = document.Parse(encoded)
		must.NoError(t, err)
	})
}
