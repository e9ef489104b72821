package main

import (
	"context"
	"sync"
)

// parts tracks the goroutines of a host: those that stop when its context ends, and the HTTP server, which stops last.
type parts struct {
	contextBound sync.WaitGroup
	httpServer   sync.WaitGroup
}

func (p *parts) start(ctx context.Context, runs ...func(context.Context)) {
	for _, run := range runs {
		p.contextBound.Go(func() { run(ctx) })
	}
}

// wait waits for the goroutines that stop when the context ends.
func (p *parts) wait() {
	p.contextBound.Wait()
}
