package clientlimits_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// checkStops checks that a planned stop ends the process while its clients stay connected.
func (i *instance) checkStops(t *testing.T) {
	t.Helper()
	must.NoError(t, i.process.Process.Signal(syscall.SIGTERM))
	select {
	case <-i.exited:
	case <-time.After(3 * testTime):
		t.Fatal("the process has not ended")
	}
}

// A planned stop must end in spite of clients that neither send nor read.
func TestStopWithClients(t *testing.T) {
	i := startInstance(t)
	kinds := []client{
		unfinishedChunks(platformPost, largeBody, 64<<10), endlessTrailers(platformPost), declaredLength(platformPost, maxBody, 1),
		endlessHeader(platformPost), unreadResponses("/lookups/large", "", 4), unreadResponses("/drafts/large", streamHeader, 1), silent,
	}
	for _, address := range []string{i.front, i.directory, i.ready, i.metrics, i.relay} {
		connectClients(t, address, bodyClients/3, mixed(kinds...))
	}
	i.checkStops(t)
}

// A planned stop of medlarslip-entry must end in spite of such clients, also without a limit of memory.
func TestEntryStopWithClients(t *testing.T) {
	kinds := []client{
		unfinishedChunks(entryPost, largeBody, 64<<10), endlessTrailers(entryPost), declaredLength(entryPost, entryMaxBody, 1),
		endlessHeader(entryPost), unreadResponses("/debug/vars", "", 4000), silent, unfinishedHello, helloThenSilence,
	}
	for _, memory := range []int{0, memoryMB} {
		t.Run(fmt.Sprintf("%d MB", memory), func(t *testing.T) {
			i := startEntryWith(t, memory, nil)
			for _, address := range []string{i.front, i.metrics, i.relay} {
				connectClients(t, address, bodyClients/3, mixed(kinds...))
			}
			i.checkStops(t)
		})
	}
}
