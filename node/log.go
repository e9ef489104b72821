package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// logQueue is the number of log lines that are queued for the output.
	logQueue = 1024
	// logRate and logBurst limit the lines per second, since writing them takes processor time from requests.
	logRate  = 100
	logBurst = 400
	// maxLine bounds a line in bytes, so that queued lines hold little.
	maxLine = 8 << 10
	// dropReportInterval is the interval at which the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

var droppedLines = metrics.NewCounter("tamarack_log_lines_dropped_total")

// logWriter writes lines to an output in the background, so that its callers never block. It drops and counts the lines beyond
// the queue or the rate limit.
type logWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Uint64
	flushes chan chan struct{}
}

func newLogWriter(out io.Writer, limiter *rate.Limiter) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueue), limiter: limiter, flushes: make(chan chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer; each call must pass one whole line.
func (w *logWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- bounded(line):
	default:
		w.drop()
	}
	return len(line), nil
}

// bounded returns a copy of a line that is cut at maxLine.
func bounded(line []byte) []byte {
	if len(line) <= maxLine {
		return bytes.Clone(line)
	}
	return append(bytes.Clone(line[:maxLine]), '\n')
}

func (w *logWriter) drop() {
	w.dropped.Add(1)
	droppedLines.Inc()
}

func (w *logWriter) run(out io.Writer) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case <-ticker.C:
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(out, "W %s log lines dropped count=%d\n", time.Now().Format(time.RFC3339Nano), n)
			}
		case done := <-w.flushes:
			for len(w.lines) > 0 {
				_, _ = out.Write(<-w.lines)
			}
			close(done)
		}
	}
}

// flush returns once the queued lines are written.
func (w *logWriter) flush() {
	done := make(chan struct{})
	w.flushes <- done
	<-done
}

// setLog sends the log to standard output with the given verbosity and returns a function that flushes it.
func setLog(verbosity int) (flush func()) {
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "v": fmt.Sprint(verbosity)} {
		if err := set.Set(name, value); err != nil {
			klog.ErrorS(err, "Log setting not applied", "name", name)
		}
	}
	w := newLogWriter(os.Stdout, rate.NewLimiter(logRate, logBurst))
	// One output receives all severities, since klog also writes each line to the outputs of all lower severities.
	klog.SetOutputBySeverity("INFO", w)
	for _, severity := range []string{"WARNING", "ERROR", "FATAL"} {
		klog.SetOutputBySeverity(severity, io.Discard)
	}
	return func() {
		klog.Flush()
		w.flush()
	}
}
