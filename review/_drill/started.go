package main

import "sync"

var (
	startedMu sync.Mutex
	started   []*instance
)

// track lists an instance whose process has to be ended.
func track(i *instance) {
	startedMu.Lock()
	defer startedMu.Unlock()
	started = append(started, i)
}

// stopStarted ends all processes that were started.
func stopStarted() {
	startedMu.Lock()
	defer startedMu.Unlock()
	stopAll(started)
}
