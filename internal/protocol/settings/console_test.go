package settings_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/protocol/strictyaml"
)

const consoleSample = `listen: 127.0.0.1:8401
platform:
  log: 127.0.0.1:8001
  instances: 127.0.0.1:8001
operator:
  name: anna
  key_file: anna.key
operators:
  - name: anna
    public_key: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
fleet:
  metrics_port: 8301
`

func TestParseConsole(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"valid", "", "", ""},
		{"IPv6 loopback", "listen: 127.0.0.1:8401", "listen: \"[::1]:8401\"", ""},
		{"remote address allowed", "listen: 127.0.0.1:8401", "listen: 10.0.0.1:8401\nallow_remote: true\nhost_names: [console.example]", ""},
		{"remote address not allowed", "listen: 127.0.0.1:8401", "listen: 0.0.0.0:8401", "listen: \"0.0.0.0:8401\" can be reached from other machines; use 127.0.0.1, or set allow_remote"},
		{"invalid address", "listen: 127.0.0.1:8401", "listen: here", "listen: \"here\" is no IP number and port"},
		{"empty host name", "listen: 127.0.0.1:8401", "listen: 127.0.0.1:8401\nhost_names: ['']", "host_names[0]: is empty"},
		{"unknown operator", "name: anna\n  key", "name: ben\n  key", "operator.name: \"ben\" is not listed in operators"},
		{"no key file", "key_file: anna.key", "key_file: ''", "operator.key_file: is empty"},
		{"missing key", "  metrics_port: 8301\n", "  metrics_addresses: []\n", "fleet.metrics_port: is missing; add the key"},
		{"port out of range", "8301", "0", "fleet.metrics_port: is 0; use a number from 1 to 65535"},
		{"invalid metrics address", "8301", "8301\n  metrics_addresses:\n    - {instance: a, address: b}", "fleet.metrics_addresses[0].address"},
		{"unknown key", "fleet:", "colour: red\nfleet:", "line 11: colour: is an unknown key"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.StrContains(t, consoleSample, tc.old)
			_, err := settings.ParseConsole([]byte(strings.Replace(consoleSample, tc.old, tc.new, 1)))
			if tc.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, strictyaml.ErrInvalid)
			must.StrContains(t, err.Error(), tc.want)
		})
	}
}
