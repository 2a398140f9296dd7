// Command standin2 plays the cases of the second review: it starts the programs of the
// deploy file as processes on loopback addresses, plays clients, the operator and the
// runners beside them, and checks one rule. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*world) bool{
	"cut-gang-cancelled": cutGangCancelled,
	"gang-beside-step":   gangBesideStep,
	"gang-before-step":   gangBeforeStep,
	"attempts-of-route":  attemptsOfRoute,
	"route-renamed":      routeRenamed,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, repository, record string) (code int) {
	w, err := newWorld(repository, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	defer func() {
		if failure := recover(); failure != nil {
			w.logf("the case couldn't run: %v", failure)
			code = 2
		}
		w.close()
	}()
	if cases[name](w) {
		w.logf("RESULT: the rule was broken")
		return 1
	}
	w.logf("RESULT: the rule held")
	return 0
}
