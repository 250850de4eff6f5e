// Command lab plays the cases of this review that have a script. It starts primrose-gateway as separate processes, together
// with stand-ins of the platform, of backend servers and of consumers, which follow the users' pages.
//
//	lab CASE FOLDER
//
// It writes record.txt to the folder of the case. Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitNotPlayed = 2
)

// play plays a case and reports whether the rule was broken.
type play func(r *recorder, hasTrouble bool) (isBroken bool, err error)

var plays = map[string]play{
	"lost-removal":      playLostRemoval,
	"large-bodies":      playLargeBodies,
	"odd-entries":       playOddEntries,
	"crasher-roll":      playCrasherRoll,
	"crasher-split":     playCrasherSplit,
	"crasher-in-answer": playCrasherInAnswer,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return exitNotPlayed
	}
	record, err := newRecorder(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotPlayed
	}
	isBroken, err := plays[args[0]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.summaryf("the case could not run: %v", err)
	}
	if closeErr := record.close(); closeErr != nil {
		fmt.Fprintln(os.Stderr, closeErr)
		return exitNotPlayed
	}
	switch {
	case err != nil:
		return exitNotPlayed
	case isBroken:
		return exitBroken
	}
	return exitHeld
}
