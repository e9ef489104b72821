package peer

import (
	"log"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// handshakeErrors counts failed TLS handshakes on the peer address.
var handshakeErrors = metrics.NewCounter("tamarack_peer_handshake_errors_total")

// ErrorLog returns the error log for the HTTP server on the peer address. Failed handshakes are counted, and logged only at a
// higher verbosity, since anyone who can reach the address can cause them.
func ErrorLog() *log.Logger {
	return log.New(serverLog{}, "", 0)
}

type serverLog struct{}

// Write logs one line of the server's error log.
func (serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.Contains(text, "TLS handshake error") {
		handshakeErrors.Inc()
		klog.V(1).InfoS("TLS handshake on the peer address failed", "err", text)
		return len(line), nil
	}
	klog.ErrorS(nil, "error of the HTTP server on the peer address", "problem", text)
	return len(line), nil
}
