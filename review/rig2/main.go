package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is the time after which a case is given up.
const longestRun = 115 * time.Second

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the function of each case. A case returns whether the rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){
	"shrink":   runShrink,
	"pipeline": runPipeline,
	"memory":   runMemory,
	"order":    runOrder,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitFailed
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	go r.giveUp()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("RESULT: the rule was broken")
		return exitBroken
	}
	r.note("RESULT: the rule held")
	return exitHeld
}

// giveUp ends the processes and the program if the case takes too long or a signal asks
// for it.
func (r *rig) giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case s := <-signals:
		r.note("the case could not run: ended by the signal %v", s)
	case <-time.After(longestRun):
		r.note("the case could not run: not at its end after %v", longestRun)
	}
	r.close()
	os.Exit(exitFailed)
}
