package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case: it returns the breaks of the rule that it saw, or an error if it could not run.
type scenario func(r *record, program string, trouble bool) (breaks []string, err error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{start: time.Now(), out: out}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %t", os.Args[1], trouble)
	breaks, err := scenarios[os.Args[1]](r, os.Args[2], trouble)
	if err != nil {
		r.printf("not run: %v", err)
		fmt.Println("not run:", err)
		os.Exit(exitNotRun)
	}
	for _, b := range breaks {
		r.printf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaks) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("held")
}
