package session_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/session"
)

func clockAt(moment time.Time) func() time.Time { return func() time.Time { return moment } }

func TestTokenIsReadOnlyByItsAccountFleetAndTime(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	signer := session.NewSigner([]byte("key of the fleet"), clockAt(start))
	token := session.Token{Account: "technicians", Versions: map[string]string{"small": "small-1"}}
	text, err := signer.Sign(token)
	must.NoError(t, err)
	unsigned := strings.Join([]string{"eyJhbGciOiJub25lIiwidHlwIjoiSldUIn0", strings.Split(text, ".")[1], ""}, ".")
	cases := []struct {
		name, text, account, key string
		now                      time.Time
		valid                    bool
	}{
		{"same account", text, "technicians", "key of the fleet", start, true},
		{"another instance, later", text, "technicians", "key of the fleet", start.Add(session.Lifetime - time.Second), true},
		{"too old", text, "technicians", "key of the fleet", start.Add(session.Lifetime + time.Second), false},
		{"another account", text, "planners", "key of the fleet", start, false},
		{"another fleet", text, "technicians", "another key", start, false},
		{"changed", text[:len(text)-2] + "xx", "technicians", "key of the fleet", start, false},
		{"unsigned", unsigned, "technicians", "key of the fleet", start, false},
		{"garbage", "hello", "technicians", "key of the fleet", start, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := session.NewSigner([]byte(tc.key), clockAt(tc.now)).Read(tc.text, tc.account)
			if tc.valid {
				must.NoError(t, err)
				must.Eq(t, token, got)
				return
			}
			must.ErrorIs(t, err, session.ErrInvalidToken)
		})
	}
}

func FuzzRead(f *testing.F) {
	signer := session.NewSigner([]byte("key of the fleet"), clockAt(time.Unix(1_800_000_000, 0)))
	text, err := signer.Sign(session.Token{Account: "technicians"})
	must.NoError(f, err)
	f.Add(text)
	f.Add("a.b.c")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := signer.Read(text, "technicians"); err != nil {
			must.ErrorIs(t, err, session.ErrInvalidToken)
		}
	})
}
