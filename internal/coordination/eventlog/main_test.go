package eventlog_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless one is given, so that every run
// draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
