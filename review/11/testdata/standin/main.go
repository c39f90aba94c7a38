// Standin plays the platform's store, hosts, routers and clients of a small deployment
// around the real balancers and agents, and checks one rule under one disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// maxLength bounds a run.
const maxLength = 110 * time.Second

// scenario plays a case. Trouble is false for the same without the disruption.
type scenario func(w *world, trouble bool) error

var scenarios = map[string]scenario{
	"drill-drain":    drillDrain,
	"drill-evacuate": drillEvacuate,
	"foreign-entry":  foreignEntry,
	"power-loss":     powerLoss,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run scenario, recordPath string, trouble bool) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer record.close()
	w, err := newWorld(record)
	defer w.stop()
	if err == nil {
		err = w.startSmall()
	}
	if err != nil {
		record.say("the case could not run: %v", err)
		return exitCouldNot
	}
	ended := make(chan error, 1)
	go func() { ended <- run(w, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-ended:
	case <-signals:
		err = fmt.Errorf("ended by a signal")
	case <-time.After(maxLength):
		err = fmt.Errorf("not done after %s", maxLength)
	}
	w.summary()
	if err != nil {
		record.say("the case could not run: %v", err)
		return exitCouldNot
	}
	if len(w.broken) > 0 {
		record.say("%d breaches", len(w.broken))
		return exitBroken
	}
	record.say("all rules held")
	return exitHeld
}
