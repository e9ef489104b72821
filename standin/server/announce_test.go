package server_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/standin/server"
)

// Guards against an upstream that is not announced because one host does not accept it, and against one
// that leaves without announcing it.
func TestAnnouncerTriesOtherHosts(t *testing.T) {
	refusing := httptest.NewServer(http.NotFoundHandler())
	defer refusing.Close()
	received := make(chan server.Announcement)
	accepting := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a server.Announcement
		if r.URL.Path == "/announce" && r.Header.Get("Authorization") == "Bearer key" && json.NewDecoder(r.Body).Decode(&a) == nil {
			received <- a
		}
	}))
	defer accepting.Close()
	hosts := []string{strings.TrimPrefix(refusing.URL, "http://"), strings.TrimPrefix(accepting.URL, "http://")}
	body := server.Announcement{Service: "ledger", Upstream: "a", Address: "127.0.0.1:5432", Zone: "z1", Region: "r1"}
	calls, err := certificate.NewHosts(nil)
	require.NoError(t, err)
	a := server.NewAnnouncer(calls, hosts, "key", body, server.NewFaults(0))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(done)
	}()
	body.LeaseMs = 3000
	require.Equal(t, body, <-received)
	a.Leave()
	for !(<-received).Leaving {
		continue
	}
	cancel()
	<-done
}
