package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Root string `long:"root" default:"." description:"folder of the repository"`
}

const description = `Removes each mechanism of proofs/removals.go in a copy of the repository and runs the test that guards it.

Exit codes: 0 when every test fails without its mechanism, 1 when one passes or cannot be run, 2 for wrong usage.`

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = description
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts.Root); err != nil {
		fmt.Fprintln(os.Stderr, "proofs:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(root string) error {
	copied, err := os.MkdirTemp("", "tamarack-proofs-")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(copied) }()
	if err := copyTree(root, copied); err != nil {
		return trace.Wrap(err)
	}
	passed := 0
	for _, r := range removals {
		ok, err := check(copied, r)
		if err != nil {
			return trace.Wrap(err, "%s, %s", r.subject(), r.rule)
		}
		verdict := "fails without it, as it should"
		if !ok {
			verdict = "PASSES without it"
			passed++
		}
		fmt.Printf("%s: %s: %s %s\n", r.subject(), r.rule, r.pkg, verdict)
	}
	if passed > 0 {
		return trace.CompareFailed("%d tests pass although their mechanism is removed", passed)
	}
	return nil
}

// subject returns the number of the invariant, or "platform rule" when there is none. The rule's text then begins with the
// platform's own name for the rule.
func (r removal) subject() string {
	if r.invariant == 0 {
		return "platform rule"
	}
	return fmt.Sprintf("invariant %2d", r.invariant)
}

// copyTree copies the Go modules of the repository and go.work, without built programs and git data.
func copyTree(root, to string) error {
	for _, name := range []string{"fleet", "host", "load", "node", "operator", "platform", "proofs", "schema", "standin"} {
		if err := os.CopyFS(filepath.Join(to, name), os.DirFS(filepath.Join(root, name))); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	work, err := os.ReadFile(filepath.Join(root, "go.work"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(to, "go.work"), work, 0o600))
}

// check reports whether the test fails without the mechanism. It returns an error when the copy does not build.
func check(root string, r removal) (bool, error) {
	path := filepath.Join(root, r.file)
	source, err := os.ReadFile(path)
	if err != nil {
		return false, trace.ConvertSystemError(err)
	}
	if strings.Count(string(source), r.old) != 1 {
		return false, trace.NotFound("%s does not contain %q exactly once", r.file, r.old)
	}
	changed := strings.Replace(string(source), r.old, r.replacement, 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		return false, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.WriteFile(path, source, 0o600) }()
	if output, err := goCommand(root, "test", "-run", "^$", r.pkg); err != nil {
		return false, trace.BadParameter("the copy does not build: %s", output)
	}
	output, err := goCommand(root, "test", "-count=1", "-timeout=120s", "-run", r.test, r.pkg)
	if err != nil && !provesFailure(output) {
		return false, trace.BadParameter("the tests ended without a failed test: %s", output)
	}
	return err != nil, nil
}

// provesFailure reports whether the output of go test names a failed test. A build that fails or tests that cannot be started prove
// nothing.
func provesFailure(output string) bool {
	return strings.Contains(output, "--- FAIL: ") || strings.Contains(output, "panic: test timed out")
}

func goCommand(root string, args ...string) (string, error) {
	command := exec.Command("go", args...)
	command.Dir = root
	output, err := command.CombinedOutput()
	return string(output), trace.Wrap(err)
}
