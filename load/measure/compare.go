package measure

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
	"google.golang.org/protobuf/types/known/durationpb"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/load/scenario"
	"tamarackshunt.dev/load/workload"
)

const (
	// compareConnections is the number of connections on which a side runs statements, and compareRound the duration of a round.
	compareConnections = 16
	compareRound       = 2 * time.Second
	// compareRounds is the number of rounds of each side; the sides alternate, so that changes of the machine's load affect both.
	compareRounds = 4
	// compareSlots and compareConnectionLimit are high enough that the stand-ins limit neither side.
	compareSlots, compareConnectionLimit = 1024, 4000
	idleObservationTime                  = 3 * time.Second
	// maxConcurrentOpens bounds the connections that are opened at the same time.
	maxConcurrentOpens = 32
	// maxLatencyMicros is the largest latency that histograms record, in microseconds.
	maxLatencyMicros = 60_000_000
)

// idleSizes are the numbers of idle connections.
var idleSizes = []int{1, 100, 2000}

// side is one of the two ways to reach a stand-in: directly or through a host. Its pid returns the process that serves it.
type side struct {
	name, address string
	session       ident.Session
	key           string
	pid           func() int
}

// Compare runs the same statements alternately at a stand-in directly and through a host, and prints the cost of each.
func Compare(ctx context.Context, opts scenario.Options, out io.Writer) error {
	opts.EditSettings = func(_ []*fleetpb.HostSettings, standins []*fleetpb.StandinSettings) {
		for _, s := range standins {
			s.Slots, s.Connections = compareSlots, compareConnectionLimit
			s.Work, s.Opening = durationpb.New(0), durationpb.New(0)
		}
	}
	e, err := scenario.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer e.CloseIgnoringError()
	sides, err := compareSides(ctx, e)
	if err != nil {
		return err
	}
	statements, err := compareStatements(ctx, sides)
	if err != nil {
		return err
	}
	if err := statements.Write(out); err != nil {
		return trace.Wrap(err)
	}
	idle, err := compareIdle(ctx, sides)
	if err != nil {
		return err
	}
	if err := idle.Write(out); err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(e.Close(), e.RemoveDir())
}

// compareSides returns both sides. It also raises the teams' rates, which would limit the side of the proxy.
func compareSides(ctx context.Context, e *scenario.Experiment) ([]side, error) {
	for _, team := range e.Fleet.Deployment.GetText().GetTeams() {
		team.Rate, team.Burst = unlimitedRate, unlimitedRate
	}
	if err := e.Fleet.Apply(ctx); err != nil {
		return nil, err
	}
	service, team := e.Fleet.Services()[0], e.Fleet.Teams()[0]
	primary, _, err := e.Fleet.Primary(ctx, service, 0)
	if err != nil {
		return nil, err
	}
	s := primary.Settings
	host := e.Fleet.Hosts[len(e.Fleet.Hosts)-1]
	return []side{
		{"direct", s.GetListen(), ident.Session{Service: ident.Service(service), User: ident.User(s.GetUser())}, s.GetPassword(), primary.PID},
		{"proxy", host.Caller, ident.Session{Service: ident.Service(service), Team: ident.Team(team), User: "compare"}, e.Fleet.Keys[team], host.PID},
	}, nil
}

// sideTotals holds the results of one side over all its rounds.
type sideTotals struct {
	latency *hdrhistogram.Histogram
	elapsed time.Duration
	cpu     time.Duration
}

func compareStatements(ctx context.Context, sides []side) (*Table, error) {
	totals := make([]sideTotals, len(sides))
	for i := range totals {
		totals[i].latency = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	for range compareRounds {
		for i, s := range sides {
			if err := s.round(ctx, &totals[i]); err != nil {
				return nil, trace.Wrap(err, "%s", s.name)
			}
		}
	}
	t := &Table{
		Title:  fmt.Sprintf("Look-ups on %d connections, %d rounds of %s each in turns", compareConnections, compareRounds, compareRound),
		Header: []string{"side", "statements/s", "p50", "p99", "processor time for each statement"},
		Note:   "Processor time is that of the stand-in on the direct side and of the host on the other; the load program runs on the same machine.",
	}
	var rates []float64
	for i, s := range sides {
		n := totals[i].latency.TotalCount()
		rates = append(rates, float64(n)/totals[i].elapsed.Seconds())
		t.Add(s.name, fmt.Sprintf("%.0f", rates[i]), micros(totals[i].latency.ValueAtQuantile(50)),
			micros(totals[i].latency.ValueAtQuantile(99)), (totals[i].cpu / time.Duration(max(n, 1))).Round(time.Microsecond))
	}
	t.Add("proxy / direct", fmt.Sprintf("%.2f", rates[1]/rates[0]),
		fmt.Sprintf("%.2f", ratio(totals[1].latency.ValueAtQuantile(50), totals[0].latency.ValueAtQuantile(50))),
		fmt.Sprintf("%.2f", ratio(totals[1].latency.ValueAtQuantile(99), totals[0].latency.ValueAtQuantile(99))), "")
	return t, nil
}

func ratio(a, b int64) float64 { return float64(a) / float64(max(b, 1)) }

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// round sends look-ups on all connections for compareRound and adds the results to total.
func (s side) round(ctx context.Context, total *sideTotals) error {
	conns, err := s.open(ctx, compareConnections)
	if err != nil {
		return err
	}
	defer closeAll(conns)
	before, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	began := time.Now()
	histograms := make([]*hdrhistogram.Histogram, len(conns))
	failures := make([]error, len(conns))
	var group sync.WaitGroup
	for i, conn := range conns {
		histograms[i] = hdrhistogram.New(1, maxLatencyMicros, 3)
		group.Go(func() { failures[i] = lookUps(ctx, conn, began.Add(compareRound), histograms[i]) })
	}
	group.Wait()
	total.elapsed += time.Since(began)
	after, err := ReadUsage(s.pid())
	total.cpu += after.Sub(before).CPU
	for _, h := range histograms {
		total.latency.Merge(h)
	}
	return trace.NewAggregate(append(failures, err)...)
}

func lookUps(ctx context.Context, conn *pgx.Conn, until time.Time, latency *hdrhistogram.Histogram) error {
	for time.Now().Before(until) {
		began := time.Now()
		var n int
		if err := conn.QueryRow(ctx, "SELECT count(*) FROM orders WHERE id = $1", "compare").Scan(&n); err != nil {
			return err
		}
		if err := latency.RecordValue(max(time.Since(began).Microseconds(), 1)); err != nil {
			return err
		}
	}
	return nil
}

// open opens n connections, a few at a time.
func (s side) open(ctx context.Context, n int) ([]*pgx.Conn, error) {
	conns := make([]*pgx.Conn, n)
	failures := make([]error, n)
	slots := make(chan struct{}, maxConcurrentOpens)
	var group sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			conns[i], failures[i] = workload.Connect(ctx, s.address, s.session, s.key, false)
		})
	}
	group.Wait()
	if err := trace.NewAggregate(failures...); err != nil {
		closeAll(conns)
		return nil, err
	}
	return conns, nil
}

func closeAll(conns []*pgx.Conn) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	for _, conn := range conns {
		if conn != nil {
			conn.Close(ctx)
		}
	}
}

func compareIdle(ctx context.Context, sides []side) (*Table, error) {
	t := &Table{
		Title:  "Idle connections",
		Header: []string{"side", "connections", "memory for each", "processor time for each and second", "p50 of a look-up beside them"},
		Note:   "Memory is the growth of the resident set of the process that holds the connections, which the runtime gives back late.",
	}
	for _, n := range idleSizes {
		for _, s := range sides {
			if err := s.idle(ctx, n, t); err != nil {
				return nil, trace.Wrap(err, "%s with %d idle connections", s.name, n)
			}
		}
	}
	return t, nil
}

func (s side) idle(ctx context.Context, n int, t *Table) error {
	active, err := s.open(ctx, 1)
	if err != nil {
		return err
	}
	defer closeAll(active)
	empty, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	conns, err := s.open(ctx, n)
	if err != nil {
		return err
	}
	defer closeAll(conns)
	before, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	time.Sleep(idleObservationTime)
	after, err := ReadUsage(s.pid())
	if err != nil {
		return err
	}
	latency := hdrhistogram.New(1, maxLatencyMicros, 3)
	if err := lookUps(ctx, active[0], time.Now().Add(compareRound), latency); err != nil {
		return err
	}
	cpu := after.Sub(before).CPU / time.Duration(n) / (idleObservationTime / time.Second)
	t.Add(s.name, n, fmt.Sprintf("%.1f KiB", float64(after.RSS-empty.RSS)/float64(n)/1024), cpu, micros(latency.ValueAtQuantile(50)))
	return nil
}
