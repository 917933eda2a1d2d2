package clientlimits_test

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reservedMB is the part of the heap limit that medlarslip-platform keeps for itself when it derives
// the limit on the memory of clients (ownHeap of package platform).
const reservedMB = 16

// A process without clients must not need more than is reserved for it, since clients could then make
// it exceed the limit of its heap.
func TestProcessWithoutClientsFitsItsReserve(t *testing.T) {
	i := startInstance(t)
	i.settle()
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Get("http://" + i.metrics + "/metrics")
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	values := map[string]float64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if name, text, ok := strings.Cut(lines.Text(), " "); ok && strings.HasPrefix(name, "go_memstats_") {
			values[name], err = strconv.ParseFloat(text, 64)
			must.NoError(t, err)
		}
	}
	// What the limit of the runtime applies to (debug.SetMemoryLimit).
	used := values["go_memstats_sys_bytes"] - values["go_memstats_heap_released_bytes"]
	t.Logf("%.1f MiB are used without clients", used/(1<<20))
	must.Positive(t, used)
	must.LessEq(t, reservedMB<<20, used)
}
