package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times what is in use before
	// a collection, since an instance uses little and allocates much.
	gcPercent = 400
	// softMemoryLimit is the size in bytes from which collections come more
	// often again.
	softMemoryLimit = 256 << 20
)

// TuneGC trades memory for fewer collections. The environment variables
// GOGC and GOMEMLIMIT of the Go runtime go before it.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryLimit)
	}
}
