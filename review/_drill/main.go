// Command drill plays the cases of the second review that are scripts: it starts the program that is
// deployed as separate processes, with stand-ins of the platform, of servers and of clients, and checks
// one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// longest is the time after which a case is given up.
const longest = 112 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file to which the record is written")
	trouble := flag.Bool("trouble", true, "whether the disruption is played")
	flag.Parse()
	cases := map[string]func(*record, bool) (int, error){"models": playModels, "headers": playHeaders, "leaving": playLeaving}
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotRun)
	}
	log, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	type outcome struct {
		code int
		err  error
	}
	ended := make(chan outcome, 1)
	go func() {
		code, err := play(log, *trouble)
		ended <- outcome{code, err}
	}()
	result := outcome{cannotRun, nil}
	select {
	case result = <-ended:
	case <-interrupted:
		log.say("interrupted")
	case <-time.After(longest):
		log.say("not done within %s", longest)
	}
	stopStarted()
	if result.err != nil {
		result.code = cannotRun
		log.say("could not run: %v", result.err)
	}
	log.say("exit %d (0: the rule held, 1: it was broken, 2: could not run)", result.code)
	log.close()
	os.Exit(result.code)
}
