package main

import (
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/load/scenario"
)

// command is one subcommand.
type command struct {
	name, short, long string
	data              any
}

var commands = []command{
	{"fleet", "Start a local fleet and run it until interrupted", `Starts a deployment, applies its configuration, gives a key to each team, waits until it serves, prints a YAML file
with every address, team and key, and runs until SIGINT or SIGTERM.`, &fleetCommand{}},
	{"demo", "Show a failover under load, with a check of the history", `Serves statements of several teams and sessions through a deployment, kills the primary of one service, waits for the
next primary and checks that no acknowledged record is lost or doubled, that no rejected one is there, and that each
session read its own writes. Ends within two minutes.`, &demoCommand{}},
}

type deploymentOption struct {
	Deployment string `long:"deployment" short:"d" default:"lamparen" description:"built-in deployment or path to a .yaml file"`
	Relays     bool   `long:"relays" description:"add the delays between availability zones, regions and clients"`
}

type fleetCommand struct {
	common
	deploymentOption
}

// Execute runs the command.
func (c *fleetCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	opts.Relays = c.Relays
	// Standard output holds only the YAML document.
	opts.Say = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	ctx, stop := interruptible()
	defer stop()
	e, err := scenario.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer e.Close()
	path, err := e.Fleet.WriteRunning()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	fmt.Printf("%s", data)
	opts.Say("interrupt to end; the addresses and keys are in %s", path)
	<-ctx.Done()
	return e.Close()
}

type demoCommand struct {
	common
	deploymentOption
	Seed uint64 `long:"seed" default:"1" description:"seed of the sessions' schedules"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	opts, err := c.options(c.Deployment)
	if err != nil {
		return err
	}
	opts.Relays = c.Relays
	ctx, stop := interruptible()
	defer stop()
	return scenario.Demo(ctx, opts, c.Seed)
}
