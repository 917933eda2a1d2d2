// Command medlarslip-entry runs an entry instance, which accepts requests from
// callers and routes them to backend servers.
package main

import (
	"runtime/debug"

	"medlarslip/internal/daemon"
	"medlarslip/internal/instance"
	"medlarslip/internal/protocol/settings"
)

func main() { daemon.Main(load) }

func load(path string) (daemon.Program, error) {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return nil, err
	}
	if limit := s.Limits.HeapBytes(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	sharedKey, err := settings.LoadSharedKey(s.Keys.SharedKeyFile)
	if err != nil {
		return nil, err
	}
	return instance.New(s, sharedKey)
}
