package main

import (
	"context"
	"sync"
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
