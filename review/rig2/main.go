// Command rig2 runs the scripted cases of the second independent review against primrose-gateway processes, with stand-ins for the
// platform's store, for backends and for consumers.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// The processes are started from the first thread of this one, which lives until it ends. They end with it, however it ends.
func init() { runtime.LockOSThread() }

func main() {
	name := flag.String("case", "", "case to run")
	gatewayPath := flag.String("gateway", "target/primrose-gateway", "path of the primrose-gateway program")
	recordPath := flag.String("record", "record.txt", "file that is written with what was sent, answered and run")
	flag.Parse()
	run, known := map[string]func(*rig) (bool, error){"slow-upload": slowUpload, "tightened-revoke": tightenedRevoke, "stray-answers": strayAnswers}[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNoRun)
	}
	r, err := newRig(*gatewayPath, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		r.close()
		os.Exit(exitNoRun)
	}()
	isBroken, err := run(r)
	r.close()
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	case isBroken:
		r.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	r.note("result: the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
