package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// collectorPercent lets the heap grow to five times what is in use before
	// a collection, since an instance uses little and allocates much.
	collectorPercent = 400
	// softMemoryLimit is the size in bytes from which collections come more
	// often again.
	softMemoryLimit = 256 << 20
)

// TuneCollector trades memory for fewer collections. The environment variables
// GOGC and GOMEMLIMIT of the Go runtime go before it.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryLimit)
	}
}
