package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run, with the seconds since the start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say adds a line and also prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// violation records a broken rule.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.mu.Unlock()
	r.say("BROKEN "+format, args...)
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}
