// Command stand2 runs the cases of the second review: the project's own programs as separate processes, with stand-ins for clients,
// databases, the platform and the operator.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// scenarios maps the names of cases to functions that run them. They return an error if the case couldn't run.
var scenarios = map[string]func(f *fleet, trouble bool) error{
	"lost":    lost,
	"homes":   homes,
	"revoked": revoked,
	"evacuee": evacuee,
}

// extraHosts has, for each zone, the number of machines without a disk beside the one with a disk. With these a case has the machines
// of the site lamparen-noc.
var extraHosts = map[string][]int{"homes": {3, 3, 2}}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER PROGRAM")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, folder, program string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(r, program, extraHosts[name])
	if err != nil {
		r.say("not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	err = scenarios[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case r.violations() > 0:
		r.say("the rule was broken, %d times", r.violations())
		return exitBroken
	case err != nil:
		r.say("not run: %v", err)
		return exitNotRun
	}
	r.say("the rule held")
	return exitHeld
}
