package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(*fleet, bool) int{"evacuation": evacuation}

// main runs a case: stand-3 CASE PROGRAM RECORD. TROUBLE=0 leaves the disruption out.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand-3 CASE PROGRAM RECORD")
		os.Exit(notRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(play func(*fleet, bool) int, program, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer file.Close()
	r := &record{file: file, began: time.Now()}
	f, err := newFleet(r, program)
	if f != nil {
		defer f.end()
	}
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	if !f.orderFrom(0, "POST", "Config.Put", fmt.Sprintf(configuration, 1)) || !f.waitReady() {
		r.printf("not run: the fleet does not serve")
		return notRun
	}
	outcome := play(f, os.Getenv("TROUBLE") != "0")
	r.printf("outcome: %s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "not run"}[outcome])
	return outcome
}
