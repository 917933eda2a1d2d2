package configuration_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestMain fixes the seed of the property tests, so that every run generates the
// same cases, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "4")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.steps", "50")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}
