// Package main runs the cases of the review: it starts instances of the system with the
// command of the deploy file, stand-ins of the store, the servers and the clients, and
// checks one rule by what these have seen. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxTime bounds the time of a case.
	maxTime = 118 * time.Second
)

// scenario is what a case does. It returns whether the rule was broken, and what it saw.
type scenario func(w *world) (broken bool, seen string, err error)

var scenarios = map[string]scenario{}

// world holds the stand-ins of one case.
type world struct {
	trouble bool
	rec     *recorder
	store   *store
	fleet   *fleet
	clients *clients
	servers *serverList
	done    chan struct{}
	closing sync.Once
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	do := scenarios[name]
	if do == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitNotRun
	}
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = rec.file.Close() }()
	w := &world{trouble: os.Getenv("TROUBLE") != "0", rec: rec, servers: &serverList{}, done: make(chan struct{})}
	defer w.close()
	go w.endEarly()
	if w.store, err = startStore(); err == nil {
		go keepEntries(w.done, w.servers.all)
		var broken bool
		var seen string
		broken, seen, err = do(w)
		if err == nil {
			verdict, code := "held", exitHeld
			if broken {
				verdict, code = "BROKEN", exitBroken
			}
			rec.line("%s: %s", verdict, seen)
			fmt.Printf("%s: %s\n", verdict, seen)
			return code
		}
	}
	rec.line("the case could not run: %v", err)
	fmt.Println("the case could not run:", err)
	return exitNotRun
}

// endEarly ends the case, as one that could not run, after a signal or if it takes too
// long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
		w.rec.line("the case was ended by a signal")
	case <-time.After(maxTime):
		w.rec.line("the case took too long")
	case <-w.done:
		return
	}
	w.close()
	os.Exit(exitNotRun)
}

// close ends everything that the case started.
func (w *world) close() {
	w.closing.Do(func() {
		close(w.done)
		if w.fleet != nil {
			w.fleet.stop()
		}
	})
}

// begin writes the first configuration, starts the servers and the instances, and waits
// until the instances are ready.
func (w *world) begin(instances, memoryMB int, configuration any, servers ...*backend) error {
	w.store.put("keyed.op", "config", configuration)
	for _, b := range servers {
		if err := b.start(); err != nil {
			return err
		}
		w.servers.add(b)
	}
	f, err := startFleet(instances, memoryMB, w.store.addressFor, w.rec)
	w.fleet = f
	if err != nil {
		return err
	}
	w.clients = newClients(f, w.rec)
	// The instances find each other, and count as undisturbed.
	time.Sleep(5 * time.Second)
	w.rec.line("%d instances are ready", instances)
	return nil
}
