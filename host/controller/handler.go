package controller

import (
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/peer"
)

// maxRequest bounds a request's body in bytes; the largest one holds a text.
const maxRequest = 4 << 20

var unauthenticated = metrics.NewCounter(`tamarack_control_unauthenticated_total`)

// Handler serves the Control service under its twirp path. Methods that are not listed are refused.
func (c *Controller) Handler() http.Handler {
	server := fleetpb.NewControlServer(service{c})
	host := c.options.Peers.Admit
	operator := peer.Secrets(c.options.Secrets.GetOperator())
	accepted := map[string]peer.Check{
		"Sync":        host,
		"Borrow":      host,
		"Announce":    peer.Any(host, peer.Secrets(c.options.Secrets.GetAnnounce())),
		"Apply":       operator,
		"GiveKey":     operator,
		"WithdrawKey": operator,
		"Status":      operator,
		"Explain":     operator,
		"Report":      operator,
	}
	check := func(r *http.Request) error {
		method := accepted[strings.TrimPrefix(r.URL.Path, fleetpb.ControlPathPrefix)]
		if method == nil {
			method = peer.Any()
		}
		return method(r)
	}
	return peer.Guard(check, unauthenticated, http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(w, request.Body, maxRequest)
		server.ServeHTTP(w, request)
	}))
}
