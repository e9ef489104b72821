package replica_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/ident"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/host/replica"
)

const secret = "a secret of the fleet"

// waitLimit is the longest wait for a condition; no test depends on its length.
const waitLimit = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// machine records issued keys in the order in which their changes are applied.
type machine struct {
	mu   sync.Mutex
	keys []string
}

func (m *machine) Apply(_ uint64, change *fleetpb.Change) proto.Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys = append(m.keys, change.GetGive().GetKey())
	return &fleetpb.KeyResponse{Done: true, Version: uint64(len(m.keys))}
}

func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []byte(strings.Join(m.keys, " ")), nil
}

func (m *machine) Restore(state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys = strings.Fields(string(state))
	return nil
}

func (m *machine) issuedKeys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.keys...)
}

// host is a control host in a test; its listener stays open while its replica restarts.
type host struct {
	name    string
	folder  string
	hosts   []*fleetpb.ControlHost
	peer    string
	mu      sync.Mutex
	handler http.Handler
	machine *machine
	replica *replica.Replica
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	handler := h.handler
	h.mu.Unlock()
	if handler == nil {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	handler.ServeHTTP(w, r)
}

func (h *host) start(t *testing.T) {
	t.Helper()
	h.machine = &machine{}
	r, err := replica.New(replica.Options{
		Host: ident.Host(h.name), Peer: h.peer, InitialHosts: h.hosts, Folder: h.folder, Peers: peer.New(peer.Options{Secret: secret}), Machine: h.machine,
	})
	require.NoError(t, err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replica, h.handler = r, r.Handler()
}

func (h *host) stop(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	h.handler = nil
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	require.NoError(t, h.replica.Close(ctx))
}

// freeze makes calls to the host block until their callers cancel them.
func (h *host) freeze() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
}

// startHosts starts control hosts on loopback addresses.
func startHosts(t *testing.T, names ...string) []*host {
	t.Helper()
	var hosts []*host
	var control []*fleetpb.ControlHost
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		h := &host{name: name, folder: t.TempDir(), peer: listener.Addr().String()}
		server := &http.Server{Handler: h, ReadHeaderTimeout: waitLimit}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		hosts = append(hosts, h)
		control = append(control, &fleetpb.ControlHost{Host: name, Peer: h.peer})
	}
	for _, h := range hosts {
		h.hosts = control
		h.start(t)
	}
	return hosts
}

// leader waits until one of the hosts is the confirmed leader.
func leader(t *testing.T, hosts ...*host) *host {
	t.Helper()
	var found *host
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if h.replica.Leadership().Confirmed {
				found = h
				return true
			}
		}
		return false
	}, waitLimit, 10*time.Millisecond)
	return found
}

// memberOf returns the member id of a voter according to the log of another host, or an empty string.
func memberOf(at, of *host) string {
	for _, voter := range at.replica.Members().GetVoters() {
		if voter.GetHost() == of.name {
			return voter.GetMember()
		}
	}
	return ""
}

// issueKey proposes a key at the current leader among the hosts.
func issueKey(t *testing.T, key string, hosts ...*host) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	for {
		answer, err := leader(t, hosts...).replica.Propose(ctx, change(key))
		var notLeader *replica.NotLeaderError
		if errors.As(err, &notLeader) {
			continue
		}
		require.NoError(t, err)
		require.True(t, answer.(*fleetpb.KeyResponse).GetDone())
		return
	}
}

func change(key string) *fleetpb.Change {
	return &fleetpb.Change{Kind: &fleetpb.Change_Give{Give: &fleetpb.GiveKeyRequest{Key: key}}}
}

// requireKeys waits until the machines of all hosts have these keys.
func requireKeys(t *testing.T, keys []string, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		require.Eventually(t, func() bool {
			return strings.Join(keys, " ") == strings.Join(h.machine.issuedKeys(), " ")
		}, waitLimit, 10*time.Millisecond, "%s has %v", h.name, h.machine.issuedKeys())
	}
}

// Guards against a single control host that loses acknowledged changes at a restart, and against concurrent proposals
// that do not share syncs to disk or that get the answers of other proposals.
func TestOneMemberRestarts(t *testing.T) {
	hosts := startHosts(t, "a")
	first := leader(t, hosts...)
	syncs := metrics.GetOrCreateCounter("tamarack_log_syncs_total")
	before := syncs.Get()
	var calls sync.WaitGroup
	versions := make([]uint64, 300)
	for i := range versions {
		calls.Go(func() {
			answer, err := first.replica.Propose(t.Context(), change(fmt.Sprint("k", i)))
			if err == nil {
				versions[i] = answer.(*fleetpb.KeyResponse).GetVersion()
			}
		})
	}
	calls.Wait()
	require.Less(t, syncs.Get()-before, uint64(len(versions)), "concurrent proposals do not share syncs")
	keys := first.machine.issuedKeys()
	require.Len(t, keys, len(versions))
	for i, version := range versions {
		require.Equal(t, fmt.Sprint("k", i), keys[version-1])
	}
	first.stop(t)
	first.start(t)
	leader(t, first)
	requireKeys(t, keys, first)
	first.stop(t)
}

// Guards against the loss of an acknowledged change when the leader shuts down, when a host loses its disk, and when a second
// host stops right after the first has rejoined.
func TestThreeMembersReplaceALostDisk(t *testing.T) {
	hosts := startHosts(t, "a", "b", "c")
	issueKey(t, "k1", hosts...)
	old := leader(t, hosts...)
	oldMember := memberOf(old, old)
	old.stop(t)
	var others []*host
	for _, h := range hosts {
		if h != old {
			others = append(others, h)
		}
	}
	issueKey(t, "k2", others...)

	require.NoError(t, os.RemoveAll(old.folder))
	old.start(t)
	require.Eventually(t, func() bool {
		member := memberOf(leader(t, others...), old)
		return member != "" && member != oldMember
	}, waitLimit, 10*time.Millisecond)
	requireKeys(t, []string{"k1", "k2"}, old)

	others[0].stop(t)
	issueKey(t, "k3", others[1], old)
	requireKeys(t, []string{"k1", "k2", "k3"}, others[1], old)
	others[1].stop(t)
	old.stop(t)
}

// Guards against a frozen peer that delays messages to the others, against a proposal on a follower that is dropped without
// an error, and against a leader without a majority that acknowledges changes or stays confirmed.
func TestFrozenPeers(t *testing.T) {
	hosts := startHosts(t, "a", "b", "c")
	lead := leader(t, hosts...)
	var followers []*host
	for _, h := range hosts {
		if h != lead {
			followers = append(followers, h)
		}
	}
	followers[0].freeze()
	issueKey(t, "k1", lead)
	requireKeys(t, []string{"k1"}, lead, followers[1])
	_, err := followers[1].replica.Propose(t.Context(), change("k2"))
	notLeader := &replica.NotLeaderError{}
	require.ErrorAs(t, err, &notLeader)
	require.Equal(t, lead.peer, notLeader.Leader)

	followers[1].freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = lead.replica.Propose(ctx, change("k3"))
	require.ErrorAs(t, err, new(*replica.UnknownOutcomeError))
	require.Eventually(t, func() bool {
		l := lead.replica.Leadership()
		return !l.Leads && !l.Confirmed && l.Leader == ""
	}, waitLimit, 10*time.Millisecond)
	for _, h := range hosts {
		h.stop(t)
	}
}

// Guards against accepting messages from processes that do not have the fleet secret.
func TestHandlerRequiresTheSecret(t *testing.T) {
	h := startHosts(t, "a")[0]
	defer h.stop(t)
	client := &http.Client{}
	defer client.CloseIdleConnections()
	_, err := fleetpb.NewQuorumProtobufClient("http://"+h.peer, client).Step(t.Context(), &fleetpb.StepRequest{})
	require.ErrorContains(t, err, "unauthenticated")
}
