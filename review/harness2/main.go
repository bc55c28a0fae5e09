//go:build review

// Command harness2 plays the cases review/6 to review/10: it starts gateways as processes, with
// stand-ins for the store, the backend servers and the clients, and checks one rule from what
// clients and backend servers see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With the
// flag -trouble=0 it does the same without the disruption; run.sh sets it from TROUBLE.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 118 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

// scenario plays one case. An error means that the case could not run.
type scenario func(d *deployment, trouble bool) (verdict, error)

var scenarios = map[string]scenario{}

func main() {
	dir := flag.String("dir", ".", "folder that receives record.txt")
	binary := flag.String("binary", "target/figweir", "the program under test")
	name := flag.String("case", "", "name of the case")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	os.Exit(play(*name, *dir, *binary, *trouble != "0"))
}

// play plays a case and returns the exit code.
func play(name, dir, binary string, trouble bool) int {
	run, known := scenarios[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	d, err := newDeployment(newRecord(out), binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	giveUp := func() {
		d.close()
		os.Exit(exitNotRun)
	}
	watchdog := time.AfterFunc(caseTimeout, giveUp)
	defer watchdog.Stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		giveUp()
	}()
	v, err := run(d, trouble)
	if err != nil {
		d.record.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d.record.logf("trouble %v, rule broken: %v; %s", trouble, v.broken, v.summary)
	fmt.Printf("%s: trouble %v, rule broken: %v; %s\n", name, trouble, v.broken, v.summary)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
