package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap before a
	// collection, since an instance has a small live heap and a high allocation
	// rate.
	gcPercent = 400
	// softMemoryLimit is the size in bytes near which collections become more
	// frequent again.
	softMemoryLimit = 256 << 20
)

// TuneGC trades memory for fewer garbage collections. The environment variables
// GOGC and GOMEMLIMIT of the Go runtime take precedence.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryLimit)
	}
}
