package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/operator/page"
)

// pageMode lets other users read the page, which contains no secrets.
const pageMode = 0o644

type statusCommand struct {
	Source bool `long:"source" description:"print the YAML configuration in force instead"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *statusCommand) Execute([]string) error { return nil }

func (c *statusCommand) run(ctx context.Context, s *session) error {
	leader, err := s.client()
	if err != nil {
		return trace.Wrap(err)
	}
	status, err := leader.Status(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Source {
		_, err := s.Out.Write(status.GetSource())
		return trace.Wrap(err)
	}
	s.printLine("Configuration version %d, control state version %d, leader %s, voters %s.", status.GetTextVersion(),
		status.GetVersion(), status.GetLeaderHost(), orNone(strings.Join(status.GetVoters(), ", ")))
	if learners := status.GetLearners(); len(learners) > 0 {
		s.printLine("Catching up before they vote: %s.", strings.Join(learners, ", "))
	}
	s.printServices(status)
	s.printHosts(status)
	return nil
}

func (s *session) printServices(status *fleetpb.StatusResponse) {
	s.printTable("SERVICE\tMET\tPRIMARY\tTERM\tALIVE\tREASON", func(row func(cells ...any)) {
		for _, service := range status.GetServices() {
			group := service.GetGroup()
			row(service.GetService(), yesNo(service.GetMet()), orDash(group.GetPrimary()), group.GetTerm(),
				fmt.Sprintf("%d/%d", len(service.GetAlive()), len(group.GetMembers())), orDash(service.GetReason()))
		}
	})
}

func (s *session) printHosts(status *fleetpb.StatusResponse) {
	s.printTable("HOST\tZONE\tCURRENT\tCONFIGURATION\tLAST SYNC", func(row func(cells ...any)) {
		for _, host := range status.GetHosts() {
			row(host.GetHost(), orDash(host.GetZone()), yesNo(host.GetCurrent()), host.GetTextVersion(),
				fmt.Sprintf("%d ms ago", host.GetSilentMs()))
		}
	})
}

// printTable writes rows under a heading, or nothing when there are no rows.
func (s *session) printTable(heading string, fill func(row func(cells ...any))) {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	rows := 0
	fill(func(cells ...any) {
		if rows == 0 {
			_, _ = fmt.Fprintln(w, "\n"+heading)
		}
		rows++
		line := make([]string, 0, len(cells))
		for _, cell := range cells {
			line = append(line, fmt.Sprint(cell))
		}
		_, _ = fmt.Fprintln(w, strings.Join(line, "\t"))
	})
	_ = w.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

type explainCommand struct {
	Args struct {
		Subject string `positional-arg-name:"SUBJECT" description:"service, upstream, zone, host, team, key or kind of event; all events when left out"`
	} `positional-args:"yes"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *explainCommand) Execute([]string) error { return nil }

func (c *explainCommand) run(ctx context.Context, s *session) error {
	leader, err := s.client()
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := leader.Explain(ctx, c.Args.Subject)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(answer.GetEvents()) == 0 {
		s.printNote("The control leader knows no recent events about this.")
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TIME\tEVENT\tSUBJECT\tREPORTED BY\tCAUSE")
	for _, event := range answer.GetEvents() {
		at := time.UnixMilli(int64(event.GetUnixMs())).UTC().Format("2006-01-02T15:04:05.000Z")
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", at, event.GetKind(), event.GetSubject(), orDash(event.GetHost()), event.GetCause())
	}
	return trace.Wrap(w.Flush())
}

type reportCommand struct {
	HTML flags.Filename `long:"html" value-name:"FILE" description:"write an HTML page with plots over the last hour to a file"`
}

// Execute is called by go-flags only when no command handler is set.
func (c *reportCommand) Execute([]string) error { return nil }

func (c *reportCommand) run(ctx context.Context, s *session) error {
	leader, err := s.client()
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := leader.Report(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.HTML != "" {
		return s.writePage(string(c.HTML), answer)
	}
	if since := answer.GetSinceUnixMs(); since > 0 {
		s.printLine("Counted since %s by leader %s; earlier leaders counted what came before.\n", page.FormatTime(since), answer.GetLeaderHost())
	}
	_, err = fmt.Fprint(s.Out, answer.GetText())
	return trace.Wrap(err)
}

// writePage writes a report as an HTML page to a file. The file is unchanged when the page cannot be rendered.
func (s *session) writePage(file string, report *fleetpb.ReportResponse) error {
	if len(report.GetLevels()) == 0 {
		return &exitError{ExitFailure, "the control leader is older than this program and sends no service levels for a page"}
	}
	var b bytes.Buffer
	if err := page.Write(&b, report); err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(file, b.Bytes(), pageMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	s.printNote("The service levels are in %s.", file)
	return nil
}
