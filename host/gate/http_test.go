package gate_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/budget"
	"tamarackshunt.dev/host/gate"
)

// Guards against bodies that are held without being admitted, against a refusal that its client doesn't get because it still sends, and
// against bytes that are not given back after a call.
func TestServerBodies(t *testing.T) {
	limits := budget.NewLimits(64*budget.MiB, 400)
	served := 0
	server := httptest.NewUnstartedServer(nil)
	server.Config = gate.New(limits).Server(gate.Calls{
		Listener: limits.PeerListener(), MaxBody: 32 << 20, Copies: 4,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			served += len(body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		}),
		Refuse: func(w http.ResponseWriter, err error) { http.Error(w, err.Error(), http.StatusServiceUnavailable) },
	})
	server.Start()
	defer server.Close()
	post := func(size int, known bool) int {
		var body io.Reader = bytes.NewReader(make([]byte, size))
		if !known {
			body = io.MultiReader(body)
		}
		response, err := http.Post(server.URL, "text/plain", body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	const fits, tooMuch, tooLarge = 3 << 20, 12 << 20, 33 << 20
	for range 10 {
		require.Equal(t, http.StatusOK, post(fits, true))
		require.Equal(t, http.StatusOK, post(fits, false))
	}
	require.Equal(t, 20*fits, served)
	require.Equal(t, http.StatusServiceUnavailable, post(tooMuch, true))
	require.Equal(t, 20*fits, served)
	require.Equal(t, http.StatusBadRequest, post(tooMuch, false))
	require.Less(t, served, 20*fits+tooMuch, "a body of unknown length is read up to the limit only")
	require.Equal(t, http.StatusRequestEntityTooLarge, post(tooLarge, true))
	require.Equal(t, http.StatusOK, post(fits, true))
}
