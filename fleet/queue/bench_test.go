package queue_test

import (
	"fmt"
	"testing"

	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/fleet/queue"
)

// BenchmarkQueue measures the cost of a Push and a Next by the number of teams with queued work.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			names := make([]ident.Team, teams)
			q := queue.New(queue.Options{})
			for i := range names {
				names[i] = ident.Team(fmt.Sprint("team", i))
				_, _, _ = q.Push(0, names[i], 1<<60)
			}
			for i := 0; b.Loop(); i++ {
				_, _, _ = q.Push(ident.Time(i), names[i%teams], ident.Time(i)+1000*ms)
				q.Next(ident.Time(i))
			}
		})
	}
}
