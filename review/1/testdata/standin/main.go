// Command standin plays one case of the review: it starts the balancers and the agents of
// a small deployment as separate processes, plays the store, the routers, the clients and
// the hosts, and checks what the clients see.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	runTimeLimit = 110 * time.Second
)

// cases are the functions that play the cases. Each returns a line for each break of the
// rule.
var cases = map[string]func(c *cluster, trouble bool) ([]string, error){
	"former-service": formerService,
	"many-addresses": manyAddresses,
	"clock-ahead":    clockAhead,
	"unused-flows":   unusedFlows,
	"odd-entry":      oddEntry,
	"cold-host":      coldHost,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &record{start: time.Now(), file: file}
	r.add("case %s, with the disruption: %v", name, trouble)
	c, err := newCluster(r)
	if err != nil {
		r.add("the case can't run: %v", err)
		return exitNotRun
	}
	defer c.close()
	type result struct {
		breaks []string
		err    error
	}
	results := make(chan result, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		breaks, err := play(c, trouble)
		results <- result{breaks, err}
	}()
	select {
	case got := <-results:
		return report(r, got.breaks, got.err)
	case <-signals:
		r.add("the case can't run: stopped by a signal")
	case <-time.After(runTimeLimit):
		r.add("the case can't run: it takes longer than %v", runTimeLimit)
	}
	return exitNotRun
}

func report(r *record, breaks []string, err error) int {
	if err != nil {
		r.add("the case can't run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, line := range breaks {
		r.add("broken: %s", line)
	}
	if len(breaks) > 0 {
		fmt.Printf("broken: %d times; first: %s\n", len(breaks), breaks[0])
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
