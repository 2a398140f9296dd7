// Command standin plays one case of the review: it starts a small deployment of sycamoredeck
// on loopback addresses, with stand-ins of the operator, the clients and the runners, and
// checks one rule.
//
// It is called as standin CASE ROOT RECORD: the name of the case, the folder of the repository
// and the file for the record. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseLimit is the longest that a case may take.
	caseLimit = 110 * time.Second
)

// play is what the cases share.
type play struct {
	*system
	*callers
	*account
	record  *record
	trouble bool
	runners []*runner
}

// cases return what broke the rule, empty if it held.
var cases = map[string]func(*play) (broken []string, err error){
	"crashed-runners": playCrashedRunners,
	"founding":        playFounding,
	"evicted":         playEvicted,
	"left-runner":     playLeftRunner,
	"waiting":         playWaiting,
	"wiped":           playWiped,
	"pending":         playPending,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitNotRun
	}
	r, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p := &play{record: r, account: &account{}, trouble: os.Getenv("TROUBLE") != "0"}
	r.add("case %s, with the disruption: %v", args[0], p.trouble)
	broken, err := p.run(args[1], cases[args[0]])
	switch {
	case err != nil:
		r.add("couldn't run: %v", err)
		fmt.Println("couldn't run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			r.add("rule broken: %s", b)
			fmt.Println("rule broken:", b)
		}
		return exitBroken
	default:
		r.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// run plays a case within its limit, and ends all processes.
func (p *play) run(root string, play func(*play) ([]string, error)) ([]string, error) {
	s, err := newSystem(root, p.record, 2*tolerated+1, 2)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	p.system, p.callers = s, newCallers(s, p.record)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(p)
		done <- outcome{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		return o.broken, o.err
	case <-ended:
		return nil, errors.New("ended by a signal")
	case <-time.After(caseLimit):
		return nil, fmt.Errorf("not done within %v", caseLimit)
	}
}

// begin starts the system and runners, sends the configuration and waits until all is ready.
func (p *play) begin(runners int) error {
	if err := p.startAll(); err != nil {
		return err
	}
	if err := p.configure(configuration(1), 30*time.Second); err != nil {
		return err
	}
	for i := range runners {
		if _, err := p.addRunner(fmt.Sprintf("i-%08x", i+1), p.runnerIP(i), "a"); err != nil {
			return err
		}
	}
	// A job that each runner could run shows that the whole path works.
	if err := p.submit("00000000000000aa", job(work{Ms: 100, CPU: 500, MemMB: 100}, 1, "")); err != nil {
		return err
	}
	if err := waitFor("the first job is completed", 30*time.Second, func() bool { return p.state("00000000000000aa") == "completed" }); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // all runners are registered and have been asked
	return nil
}

func (p *play) runnerIP(i int) string { return fmt.Sprintf("%s.%d.2", p.network, i+1) }

func (p *play) addRunner(id, ip, kind string) (*runner, error) {
	w, err := startRunner(id, ip, kind, p.controlAddresses(), p.record, p.account)
	if err == nil {
		p.runners = append(p.runners, w)
	}
	return w, err
}

// runnerOf returns the runner with an id.
func (p *play) runnerOf(id string) *runner {
	for _, w := range p.runners {
		if w.id == id {
			return w
		}
	}
	return nil
}

// job returns a job of one step. More are further fields of the step, each after a comma.
func job(w work, count int, more string) string {
	spec := fmt.Sprintf(`{\"ms\":%d,\"cpu\":%d,\"mem\":%d,\"tail\":%d,\"disturb\":%d}`, w.Ms, w.CPU, w.MemMB, w.TailMs, w.DisturbMs)
	estimate := ""
	if w.Ms > 0 {
		estimate = fmt.Sprintf(`,"estimate-ms":%d`, w.Ms)
	}
	return fmt.Sprintf(`{"spec":"%s","steps":[{"count":%d,"cpu":%d,"mem-mb":%d%s%s}]}`, spec, count, w.CPU, w.MemMB, estimate, more)
}

var errNotAcknowledged = errors.New("the runner's announcement wasn't acknowledged")
