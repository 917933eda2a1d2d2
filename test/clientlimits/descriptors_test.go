package clientlimits_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// scarceFDs is the limit of descriptors of the test of a process that has fewer than its settings
// assume. It has about 25 without clients.
const scarceFDs = 60

// Connections that exhaust the descriptors of medlarslip-entry must not end a listener: callers, peers
// and metrics must be served once the connections have ended.
func TestEntryServesAfterLackOfDescriptors(t *testing.T) {
	for _, c := range []struct {
		name    string
		address func(*instance) string
	}{
		{"callers", func(i *instance) string { return i.front }},
		{"peers", func(i *instance) string { return i.relay }},
		{"metrics", func(i *instance) string { return i.metrics }},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := startEntry(t)
			limit := unix.Rlimit{Cur: scarceFDs, Max: scarceFDs}
			must.NoError(t, unix.Prlimit(i.process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
			t.Run("clients", func(t *testing.T) {
				connectClients(t, c.address(i), connectionClients, all(silent))
				i.settle()
			})
			i.checkServes(t)
			checkPeersServed(t, i)
			i.eventually(t, "metrics are not served", func() bool { return answers(fmt.Sprintf("http://%s/debug/vars", i.metrics)) })
		})
	}
}
