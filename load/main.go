package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"tamarackshunt.dev/load/deployments"
	"tamarackshunt.dev/load/scenario"
)

// Exit codes of the program.
const (
	exitFailure = 1
	exitUsage   = 2
	// exitCheckFailed means that the run was completed and its history has violations or a bound wasn't met.
	exitCheckFailed = 3
)

const description = `Starts local fleets of the built programs on 127.0.0.1, drives load through them and measures.
For development only.

Exit codes: 0 done; 1 the run could not be completed; 2 wrong arguments; 3 the run was completed, and its history is
wrong or a bound was not met. Deployments are small, lamparen, merrimack, or a path to a .yaml file.`

// common holds the options of all commands.
type common struct {
	Bin string `long:"bin" description:"folder of the built programs (default: the folder of this program)"`
}

func (c common) options(deployment string) (scenario.Options, error) {
	d, err := deployments.Load(deployment)
	if err != nil {
		return scenario.Options{}, err
	}
	bin := c.Bin
	if bin == "" {
		self, err := os.Executable()
		if err != nil {
			return scenario.Options{}, trace.ConvertSystemError(err)
		}
		bin = filepath.Dir(self)
	}
	return scenario.Options{Deployment: d, Bin: bin, Logf: newLogf()}, nil
}

// newLogf returns a function that prints lines with the time since newLogf was called.
func newLogf() func(format string, args ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		fmt.Printf("%7.2fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func main() {
	parser := flags.NewNamedParser("tamarack-load", flags.Default&^flags.PrintErrors)
	parser.LongDescription = description
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailure)
		}
	}
	_, err := parser.Parse()
	if err != nil && flags.WroteHelp(err) {
		fmt.Println(err)
		return
	}
	if code := exitCode(err); code != 0 {
		fmt.Fprintf(os.Stderr, "tamarack-load: %s\n", trace.UserMessage(err))
		os.Exit(code)
	}
}

func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage), trace.IsBadParameter(err):
		return exitUsage
	case trace.IsCompareFailed(err):
		return exitCheckFailed
	}
	return exitFailure
}

// interruptible returns a context that ends with SIGINT or SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
