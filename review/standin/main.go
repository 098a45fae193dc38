//go:build review

// Command standin holds the stand-ins and the drivers of the review's scripts.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin replica ... | long-answer FOLDER | slow-body FOLDER | old-leader FOLDER | public-key FOLDER | regained-lease FOLDER")
		os.Exit(couldNot)
	}
	run, ok := map[string]func([]string) (bool, error){"replica": runReplica, "long-answer": runLongAnswer, "slow-body": runSlowBody, "old-leader": runOldLeader, "public-key": runPublicKey, "regained-lease": runRegainedLease}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
		os.Exit(couldNot)
	}
	violated, err := run(os.Args[2:])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(couldNot)
	case violated:
		os.Exit(broken)
	}
	os.Exit(held)
}

// disrupts reports whether the case's disruption is wanted.
func disrupts() bool { return os.Getenv("TROUBLE") != "0" }
