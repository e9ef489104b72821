package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/peer"
)

// identifyOnce answers the first call of Identify and fails the others.
type identifyOnce struct {
	fleetpb.Core
	calls int
}

func (n *identifyOnce) Identify(context.Context, *fleetpb.IdentifyRequest) (*fleetpb.IdentifyResponse, error) {
	if n.calls++; n.calls > 1 {
		return nil, twirp.NotFound.Error("no name")
	}
	return &fleetpb.IdentifyResponse{Host: "core-1"}, nil
}

// Guards against headers that make calls between trusted hosts larger than needed, and against calls and failures that cannot
// be decoded without the omitted headers.
func TestTrusted(t *testing.T) {
	var received http.Header
	handler := peer.TrustedHandler(fleetpb.NewCoreServer(&identifyOnce{}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Clone()
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	network := peer.New(peer.Options{Trusted: true})
	defer network.Close()

	core := fleetpb.NewCoreProtobufClient(network.URL(strings.TrimPrefix(server.URL, "http://")), network.Client(0))
	response, err := core.Identify(t.Context(), &fleetpb.IdentifyRequest{})
	require.NoError(t, err)
	require.Equal(t, "core-1", response.GetHost())
	require.Equal(t, []string{"Content-Length"}, names(received))
	_, err = core.Identify(t.Context(), &fleetpb.IdentifyRequest{})
	var failure twirp.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, twirp.NotFound, failure.Code())

	direct := httptest.NewServer(peer.TrustedHandler(fleetpb.NewCoreServer(&identifyOnce{})))
	defer direct.Close()
	raw, err := network.Client(0).Post(direct.URL+fleetpb.CorePathPrefix+"Identify", "", strings.NewReader(""))
	require.NoError(t, err)
	require.NoError(t, raw.Body.Close())
	require.Equal(t, http.StatusOK, raw.StatusCode)
	require.Equal(t, []string{"Content-Length"}, names(raw.Header))
}

func names(header http.Header) []string {
	list := []string{}
	for name := range header {
		list = append(list, name)
	}
	return list
}
