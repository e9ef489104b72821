package main

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/platform"
)

// reportUsage restarts all processes with settings that ask for reports of usage.
func (f *fleet) reportUsage() {
	restart := func(role string, host int) *process {
		path := f.settings(role, host, false, 0, 1, 2)
		text, err := os.ReadFile(path)
		require.NoError(f.t, err)
		asked := strings.Replace(string(text), "[bounds]\n", "[bounds]\nusage_window_s = 1\nusage_late_s = 10\nlease_ms = 500\n", 1)
		asked = strings.Replace(asked, "[cloud]\n", "[cloud]\nduties = [\"metering\", \"failover\"]\n", 1)
		require.NoError(f.t, os.WriteFile(path, []byte(asked), 0o600))
		return f.start(role, path)
	}
	for _, p := range f.started {
		p.kill()
	}
	for i := range f.cores {
		f.cores[i], f.entries[i] = restart("core", i), restart("entry", i)
	}
	for i := range f.entries {
		f.eventually("entry host ready", func() bool { return f.ready(i) })
	}
}

// reported returns the operations of each team in the accepted reports, and the last accepted one. No window may be reported with
// different counts.
func (f *fleet) reported() (operations map[string]int, last platform.UsageReport) {
	operations = map[string]int{}
	bodies := map[uint64]string{}
	for _, report := range f.cloud.Usage.Reports() {
		if earlier, found := bodies[report.Window]; found {
			require.Equal(f.t, earlier, report.Body)
			continue
		}
		bodies[report.Window] = report.Body
		var content struct{ Counts map[string]int }
		require.NoError(f.t, json.Unmarshal([]byte(report.Body), &content))
		for team, count := range content.Counts {
			operations[team] += count
		}
		last = report
	}
	return operations, last
}

// Guards against operations that are reported twice or not at all by the processes of a fleet whose core leader is killed and whose entry
// host is shut down, although they ran.
func TestUsageIsReported(t *testing.T) {
	f := newFleet(t)
	f.reportUsage()
	want := map[string]int{}
	run := func(operations int) {
		for i := range operations {
			f.do(i%3, "primary", "key-one", "STORE item x")
			f.do((i+1)%3, "session", "key-two", "FETCH item")
			want["one"]++
			want["two"]++
		}
	}
	run(10)
	f.eventually("a report", func() bool { _, last := f.reported(); return last.Holder != "" })
	_, last := f.reported()
	f.cores[last.Holder[1]-'0'].kill()
	run(10)
	require.NoError(t, f.entries[2].command.Process.Signal(os.Interrupt))
	<-f.entries[2].done
	f.eventually("everything that ran is reported", func() bool {
		operations, _ := f.reported()
		return operations["one"] >= want["one"] && operations["two"] >= want["two"]
	})
	operations, next := f.reported()
	require.Equal(t, want, operations)
	require.NotEqual(t, last.Holder, next.Holder)
}
