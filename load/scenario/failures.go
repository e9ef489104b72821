package scenario

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/launch"
	"tamarackshunt.dev/load/workload"
)

// Failure is a fault that can be injected into a fleet under load.
type Failure struct {
	Name string
	// Invariant names the invariant that the failure tests.
	Invariant string
	// Relays reports whether the failure needs a fleet with relays.
	Relays bool
	// Inject causes the failure, ends it and returns once the fleet should serve again.
	Inject func(ctx context.Context, e *Experiment, service string) error
}

// writesBetweenSteps is the number of writes that must be acknowledged between two steps of a failure.
const writesBetweenSteps = 60

// Failures lists the failures of processes, disks and links that tests and Soak cause.
var Failures = []Failure{
	{"entry host killed within a transaction", "no acknowledged record lost, an open transaction leaves nothing", false, killWithinTransaction},
	{"primary killed", "no acknowledged record lost at a promotion (section 8)", false, killPrimary},
	{"primary frozen and back", "no write acknowledged by an old primary (invariant 2)", false, freezePrimary},
	{"second primary killed after the repair of the first", "no record lost when a member fails right after a repair", false, killPrimaryTwice},
	{"control leader killed", "serving goes on through an election, positions stay (invariant 1)", false, killControlLeader},
	{"control leader frozen and back", "an old leader grants no lease and reverts nothing (invariant 14)", false, freezeControlLeader},
	{"control host without its data", "a host that lost its disk rejoins without a vote (section 4)", false, removeData},
	{"control host with a truncated data file", "a damaged file is refused, not read in part (section 11)", false, truncateData},
	{"primary cut off from all others", "no write acknowledged by an isolated primary (invariant 2)", true, isolatePrimary},
	{"control leader cut off from the control hosts", "an isolated leader steps down and grants no lease", true, isolateControlLeader},
}

func killWithinTransaction(ctx context.Context, e *Experiment, service string) error {
	host := e.Fleet.Hosts[0]
	team := e.Fleet.Teams()[0]
	session := ident.Session{Service: ident.Service(service), Team: ident.Team(team), User: "open"}
	conn, err := workload.Connect(ctx, host.Caller, session, e.Fleet.Keys[team], false)
	if err != nil {
		return err
	}
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		return err
	}
	if _, err := conn.Exec(ctx, `INSERT INTO orders (id, team, "user", note) VALUES ('open', $1, 'open', '')`, team); err != nil {
		return err
	}
	if err := host.Kill(); err != nil {
		return err
	}
	if err := e.WaitForWrites(ctx, service, writesBetweenSteps); err != nil {
		return err
	}
	return host.Start()
}

func killPrimary(ctx context.Context, e *Experiment, service string) error {
	primary, term, err := e.Fleet.Primary(ctx, service, 0)
	if err != nil {
		return err
	}
	if err := primary.Kill(); err != nil {
		return err
	}
	if _, _, err := e.Fleet.Primary(ctx, service, term); err != nil {
		return err
	}
	return primary.Start()
}

func killPrimaryTwice(ctx context.Context, e *Experiment, service string) error {
	if err := killPrimary(ctx, e, service); err != nil {
		return err
	}
	if err := e.WaitForWrites(ctx, service, writesBetweenSteps); err != nil {
		return err
	}
	return killPrimary(ctx, e, service)
}

func freezePrimary(ctx context.Context, e *Experiment, service string) error {
	primary, term, err := e.Fleet.Primary(ctx, service, 0)
	if err != nil {
		return err
	}
	if err := primary.Freeze(); err != nil {
		return err
	}
	if _, _, err := e.Fleet.Primary(ctx, service, term); err != nil {
		return err
	}
	if err := e.WaitForWrites(ctx, service, writesBetweenSteps); err != nil {
		return err
	}
	return primary.Thaw()
}

func killControlLeader(ctx context.Context, e *Experiment, service string) error {
	leader, err := e.Fleet.Leader(ctx)
	if err != nil {
		return err
	}
	if err := leader.Kill(); err != nil {
		return err
	}
	if err := e.WaitForWrites(ctx, service, writesBetweenSteps); err != nil {
		return err
	}
	return leader.Start()
}

func freezeControlLeader(ctx context.Context, e *Experiment, service string) error {
	leader, err := e.Fleet.Leader(ctx)
	if err != nil {
		return err
	}
	if err := leader.Freeze(); err != nil {
		return err
	}
	if err := waitOtherLeader(ctx, e, leader); err != nil {
		return err
	}
	if err := e.WaitForWrites(ctx, service, writesBetweenSteps); err != nil {
		return err
	}
	return leader.Thaw()
}

func waitOtherLeader(ctx context.Context, e *Experiment, old *launch.Host) error {
	for {
		leader, err := e.Fleet.Leader(ctx)
		if err != nil {
			return err
		}
		if leader != old {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// follower returns a control host that is not the leader.
func follower(ctx context.Context, e *Experiment) (*launch.Host, error) {
	leader, err := e.Fleet.Leader(ctx)
	if err != nil {
		return nil, err
	}
	for _, h := range e.Fleet.Hosts {
		if h != leader && h.Settings.GetData() != "" {
			return h, nil
		}
	}
	return nil, trace.NotFound("no control host but the leader")
}

func removeData(ctx context.Context, e *Experiment, _ string) error {
	host, err := follower(ctx, e)
	if err != nil {
		return err
	}
	if err := host.Kill(); err != nil {
		return err
	}
	return replaceHost(ctx, e, host)
}

// replaceHost removes a control host's data and starts it as a replacement. It then kills the leader and waits
// for another one, to check that the replacement votes.
func replaceHost(ctx context.Context, e *Experiment, host *launch.Host) error {
	if err := os.RemoveAll(host.Settings.GetData()); err != nil {
		return trace.ConvertSystemError(err)
	}
	host.Settings.Replacement = true
	if err := e.Fleet.RewriteSettings(host); err != nil {
		return err
	}
	earlier, err := e.Fleet.VoterIDs(ctx)
	if err != nil {
		return err
	}
	if err := host.Start(); err != nil {
		return err
	}
	// The old member stays a voter until the log has replaced it; killing the leader before that would be a second loss.
	if err := e.Fleet.WaitReplaced(ctx, host.Name, earlier); err != nil {
		return err
	}
	leader, err := e.Fleet.Leader(ctx)
	if err != nil {
		return err
	}
	if err := leader.Kill(); err != nil {
		return err
	}
	if err := waitOtherLeader(ctx, e, leader); err != nil {
		return err
	}
	return leader.Start()
}

func truncateData(ctx context.Context, e *Experiment, _ string) error {
	host, err := follower(ctx, e)
	if err != nil {
		return err
	}
	if err := host.Kill(); err != nil {
		return err
	}
	if err := truncateFiles(host.Settings.GetData()); err != nil {
		return err
	}
	if err := host.Start(); err != nil {
		return err
	}
	select {
	case <-host.Done():
	case <-ctx.Done():
		return trace.LimitExceeded("%s runs on a truncated data file; its log ends: %s", host.Name, host.Log(1024))
	}
	if host.ExitCode() == 0 {
		return trace.CompareFailed("%s ended with exit code 0 on a truncated data file", host.Name)
	}
	return replaceHost(ctx, e, host)
}

func truncateFiles(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if err := os.Truncate(filepath.Join(folder, entry.Name()), info.Size()/2); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

func isolatePrimary(ctx context.Context, e *Experiment, service string) error {
	primary, term, err := e.Fleet.Primary(ctx, service, 0)
	if err != nil {
		return err
	}
	heal := e.Fleet.Isolate(primary.Name)
	defer heal()
	if _, _, err := e.Fleet.Primary(ctx, service, term); err != nil {
		return err
	}
	return e.WaitForWrites(ctx, service, writesBetweenSteps)
}

func isolateControlLeader(ctx context.Context, e *Experiment, service string) error {
	leader, err := e.Fleet.Leader(ctx)
	if err != nil {
		return err
	}
	heal := e.Fleet.Isolate(leader.Name)
	defer heal()
	if err := waitOtherLeader(ctx, e, leader); err != nil {
		return err
	}
	return e.WaitForWrites(ctx, service, writesBetweenSteps)
}
