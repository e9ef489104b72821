package session_test

import (
	"fmt"
	"runtime"
	"testing"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/session"
)

func filledTable(sessions int) *session.Table {
	table := session.NewTable(2 * sessions)
	for i := range sessions {
		table.Put(spreadHash(i), at(i))
	}
	return table
}

// spreadHash returns a different, evenly distributed hash for each number.
func spreadHash(i int) uint64 { return (uint64(i) + 1) * 0x9e3779b97f4a7c15 }

// BenchmarkTableBytes measures the memory of a table for each session.
func BenchmarkTableBytes(b *testing.B) {
	for _, sessions := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := filledTable(sessions)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(sessions), "bytes/session")
		})
	}
}

// BenchmarkTable measures the time of a Put and of a Get at three sizes of the table.
func BenchmarkTable(b *testing.B) {
	for _, sessions := range []int{10_000, 100_000, 1_000_000} {
		table := filledTable(sessions)
		b.Run(fmt.Sprintf("put/%d", sessions), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				table.Put(spreadHash(i%sessions), at(i))
			}
		})
		b.Run(fmt.Sprintf("get/%d", sessions), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				table.Get(spreadHash(i % sessions))
			}
		})
	}
}

// BenchmarkHolders measures the time to determine a session's holders for several numbers of keepers.
func BenchmarkHolders(b *testing.B) {
	for _, keepers := range []int{12, 120, 1200} {
		var members []session.Member
		for i := range keepers {
			members = append(members, session.Member{Host: ident.Host(fmt.Sprint("entry", i)), Zone: ident.Zone(fmt.Sprint("z", i%3))})
		}
		set := session.NewSet(1, members)
		b.Run(fmt.Sprint(keepers), func(b *testing.B) {
			for b.Loop() {
				set.Holders(name(1))
			}
		})
	}
}
