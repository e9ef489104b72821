package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/fleetpb"
)

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
	s.say("Configuration version %d, control state version %d, leader %s, voters %s.", status.GetTextVersion(),
		status.GetVersion(), status.GetLeaderHost(), orNone(strings.Join(status.GetVoters(), ", ")))
	if learners := status.GetLearners(); len(learners) > 0 {
		s.say("Catching up before they vote: %s.", strings.Join(learners, ", "))
	}
	s.services(status)
	s.hosts(status)
	return nil
}

func (s *session) services(status *fleetpb.StatusResponse) {
	s.table("SERVICE\tMET\tPRIMARY\tTERM\tALIVE\tREASON", func(row func(cells ...any)) {
		for _, service := range status.GetServices() {
			group := service.GetGroup()
			row(service.GetService(), yes(service.GetMet()), orDash(group.GetPrimary()), group.GetTerm(),
				fmt.Sprintf("%d/%d", len(service.GetAlive()), len(group.GetMembers())), orDash(service.GetReason()))
		}
	})
}

func (s *session) hosts(status *fleetpb.StatusResponse) {
	s.table("HOST\tZONE\tCURRENT\tCONFIGURATION\tLAST SYNC", func(row func(cells ...any)) {
		for _, host := range status.GetHosts() {
			row(host.GetHost(), orDash(host.GetZone()), yes(host.GetCurrent()), host.GetTextVersion(),
				fmt.Sprintf("%d ms ago", host.GetSilentMs()))
		}
	})
}

// table writes rows under a heading, or nothing when there are none.
func (s *session) table(heading string, fill func(row func(cells ...any))) {
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

func yes(b bool) string {
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
		s.note("The control leader knows no recent events about this.")
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for _, event := range answer.GetEvents() {
		at := time.UnixMilli(int64(event.GetUnixMs())).UTC().Format("2006-01-02T15:04:05.000Z")
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", at, event.GetKind(), event.GetSubject(), event.GetCause())
	}
	return trace.Wrap(w.Flush())
}

type reportCommand struct{}

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
	_, err = fmt.Fprint(s.Out, answer.GetText())
	return trace.Wrap(err)
}
