package measure

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"tamarackshunt.dev/load/scenario"
	"tamarackshunt.dev/load/workload"
)

const (
	// readWrites is the share of writes in percent.
	readWrites = 10
	// readPace is less than the lag, so that sessions read while replicas lack their last write. It also keeps the smallest
	// team, which has one session, within its rate.
	readPace = 12 * time.Millisecond
	// reportDelay is the time until the leader's report includes all counts of the hosts: two syncs.
	reportDelay = time.Second
)

// Headers of columns in the report's table of teams.
const (
	columnReplica = "REPLICA READS"
	columnPrimary = "PRIMARY READS"
)

// replicaShare measures the share of reads that replicas serve during a run with 10% writes, from the leader's reports before
// and after it.
func replicaShare(ctx context.Context, m *runState) (Result, error) {
	before, err := m.readCounts(ctx)
	if err != nil {
		return Result{}, err
	}
	load := scenario.Load{
		Seed: m.opts.Seed, Sessions: m.sessions(m.Fleet.Services()[0], 1), Mix: workload.Mix{Writes: readWrites}, Pace: readPace,
	}
	if err := m.Run(load); err != nil {
		return Result{}, err
	}
	m.Pause(shareTime)
	if err := m.stopAndCheck(); err != nil {
		return Result{}, err
	}
	m.Pause(reportDelay)
	after, err := m.readCounts(ctx)
	if err != nil {
		return Result{}, err
	}
	replica, primary := after[columnReplica]-before[columnReplica], after[columnPrimary]-before[columnPrimary]
	share := float64(replica) / max(float64(replica+primary), 1)
	lag := m.Fleet.Deployment.GetLag().AsDuration()
	stale, reads := staleAtAnyReplica(m.Runner.Events(), lag)
	return Result{
		Name:  fmt.Sprintf("reads served by replicas, %d%% writes, %s lag", readWrites, lag),
		Value: fmt.Sprintf("%.1f%% of %d", percent*share, replica+primary),
		Bound: fmt.Sprintf(">= %.0f%%", percent*boundReplicaShare),
		Met:   share >= boundReplicaShare,
		Baselines: []string{
			"primary only: 0% by definition",
			fmt.Sprintf("any replica, acknowledged by the primary alone: 100%%, %d of %d look-ups stale (simulation with the same history)", stale, reads),
		},
	}, nil
}

// readCounts returns the sums of the read columns over all teams of the leader's report; a report without the table counts as
// zero reads.
func (m *runState) readCounts(ctx context.Context) (map[string]int64, error) {
	report, err := m.Fleet.Report(ctx)
	if err != nil {
		return nil, err
	}
	return sumColumns(report, columnReplica, columnPrimary)
}

// sumColumns sums the named columns of the report's tables that begin with TEAM; two or more spaces separate cells.
func sumColumns(report string, names ...string) (map[string]int64, error) {
	sums := make(map[string]int64)
	var columns []string
	for line := range strings.Lines(report) {
		cells := splitCells(strings.TrimRight(line, "\n"))
		if len(cells) > 0 && cells[0] == "TEAM" {
			columns = cells
			continue
		}
		if columns == nil || len(cells) != len(columns) {
			columns = nil
			continue
		}
		for i, column := range columns {
			for _, name := range names {
				if column != name {
					continue
				}
				n, err := strconv.ParseInt(cells[i], 10, 64)
				if err != nil {
					return nil, trace.BadParameter("unexpected cell %q in column %s of the report", cells[i], name)
				}
				sums[name] += n
			}
		}
	}
	return sums, nil
}

func splitCells(line string) []string {
	var cells []string
	for _, cell := range strings.Split(line, "  ") {
		if cell = strings.TrimSpace(cell); cell != "" {
			cells = append(cells, cell)
		}
	}
	return cells
}
