package main

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/controller"
	"tamarackshunt.dev/host/replica"
)

// parts are the goroutines of a host: those that end with its context, and the server of peers, which ends last.
type parts struct {
	contextual sync.WaitGroup
	group      sync.WaitGroup
}

func (p *parts) start(ctx context.Context, runs ...func(context.Context)) {
	for _, run := range runs {
		p.contextual.Go(func() { run(ctx) })
	}
}

// wait returns when the parts that end with the context have ended.
func (p *parts) wait() {
	p.contextual.Wait()
}

// controlLog shows the replica to the controller.
type controlLog struct {
	replica *replica.Replica
}

// Propose appends a change and waits for its answer.
func (l controlLog) Propose(ctx context.Context, change *fleetpb.Change) (proto.Message, error) {
	return l.replica.Propose(ctx, change)
}

// Leadership returns what this member knows of the leader.
func (l controlLog) Leadership() controller.Leadership {
	return controller.Leadership(l.replica.Leadership())
}

// Members returns the voters and learners.
func (l controlLog) Members() *fleetpb.Voters {
	return l.replica.Members()
}
