package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/standin/platform"
)

const (
	// eventuallyTimeout bounds the wait for a condition. It is far longer than needed, even on a busy machine.
	eventuallyTimeout = 40 * time.Second
	pollInterval      = 50 * time.Millisecond
	// The ports are the same on all hosts of the fleet, since each host has its own address.
	portFront   = 21101
	portReady   = 21102
	portControl = 21103
	portPeers   = 21110
)

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "tamarack-node")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "tamarack-node")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a running program of the fleet.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	log     *syncBuffer
}

type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// fleet is a set of three hosts, each with a core and an entry process, on a stand-in for the platform.
type fleet struct {
	t      *testing.T
	folder string
	// net is the random /24 of 127.0.0.0/8 that contains the addresses of the hosts, so that two fleets do not collide.
	net       string
	cloud     *platform.Cloud
	group     *platform.Group
	upstreams []*platform.Upstream
	cores     []*process
	entries   []*process
	// started has all processes, also those that were replaced.
	started []*process
	version int
	// grace is the time from SIGTERM to SIGKILL in seconds.
	grace int
	// limits are the lines of the settings' table of limits.
	limits string
	// ctx ends after the processes.
	ctx context.Context
}

// configuration describes one service with three routes, and two teams. revoked omits the second team's key; given gives it to a third
// team; rate is the first team's rate per second and its burst; syncReplicas is the number of replicas for which the service's writes wait.
type configuration struct {
	version      int
	revoked      bool
	given        bool
	rate         int
	syncReplicas int
}

func (c configuration) body() string {
	key, third := `"key-two"`, ""
	if c.revoked || c.given {
		key = ""
	}
	if c.given {
		third = `,{"name":"three","api_keys":["key-two"],"rate_per_s":500,"burst":500}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r1","host":"primary","path_prefix":"/","type":"primary","timeout_ms":3000,"slo_ms":2000,"priority":1,"service":"svc","public":false},
{"name":"r2","host":"session","path_prefix":"/","type":"session","timeout_ms":3000,"slo_ms":2000,"priority":1,"service":"svc","max_staleness_ms":2500,"public":false},
{"name":"r3","host":"bounded","path_prefix":"/","type":"bounded","timeout_ms":3000,"slo_ms":2000,"priority":2,"service":"svc","max_staleness_ms":1500,"public":false}],
"services":[{"name":"svc","max_conns":20,"sync_replicas":%d}],"limits":{"tx_idle_ms":3000},
"tenants":[{"name":"one","api_keys":["key-one"],"rate_per_s":%d,"burst":%d},{"name":"two","api_keys":[%s],"rate_per_s":500,"burst":500}%s]}`,
		c.version, c.syncReplicas, c.rate, c.rate, key, third)
}

func (f *fleet) ip(i int) string { return fmt.Sprintf("%s.%d", f.net, i+1) }

func (f *fleet) controlAddresses() []string {
	var list []string
	for i := range 3 {
		list = append(list, fmt.Sprintf("%s:%d", f.ip(i), portControl))
	}
	return list
}

// settings writes the settings file of a role on a host, with the given hosts as seeds, and returns its path.
func (f *fleet) settings(role string, host int, bootstrap bool, seeds ...int) string {
	ip := f.ip(host)
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.ip(s), portControl)))
	}
	data, listen := "", fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", ip, portFront, ip, portReady)
	if role == "core" {
		data = filepath.Join(f.folder, fmt.Sprintf("data-%d", host))
		listen = fmt.Sprintf("control = \"%s:%d\"", ip, portControl)
		require.NoError(f.t, os.MkdirAll(data, 0o755))
	}
	text := fmt.Sprintf(`node = "m%d"
role = %q
ip = %q
zone = "z%d"
region = "r%d"
port_range = [%d,%d]
seeds = [%s]
bootstrap = %v
data_dir = %q
heartbeat_ms = 300
[zones]
z0 = "r0"
z1 = "r1"
z2 = "r2"
[listen]
%s
[limits]
%s
[bounds]
grace_s = %d
quota_window_s = 5.0
quota_overrun = 0.1
quota_slack = 20
[cloud]
addr = %q
`, host, role, ip, host%3, host%3, portPeers, portPeers+9, strings.Join(addresses, ","), bootstrap, data, listen, f.limits, f.grace, f.cloud.Address)
	path := filepath.Join(f.folder, fmt.Sprintf("%s-%d.toml", role, host))
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (f *fleet) start(role, settings string) *process {
	p := &process{command: exec.Command(program, role, "--settings", settings), done: make(chan struct{}), log: &syncBuffer{}}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	require.NoError(f.t, p.command.Start())
	f.started = append(f.started, p)
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	f.t.Cleanup(func() {
		p.kill()
		if f.t.Failed() {
			f.t.Logf("log of %s %s:\n%s", role, settings, tail(p.log.String()))
		}
	})
	return p
}

func tail(text string) string {
	const maxTail = 6000
	if len(text) > maxTail {
		return text[len(text)-maxTail:]
	}
	return text
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// newFleet starts the platform and the hosts and waits until all entry hosts are ready.
func newFleet(t *testing.T) *fleet {
	return newFleetWithGrace(t, 6)
}

// newFleetOf starts the platform of a fleet without hosts and upstreams.
func newFleetOf(t *testing.T, grace int, limits string) *fleet {
	f := &fleet{t: t, grace: grace, limits: limits, folder: t.TempDir(), net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))}
	var cancel context.CancelFunc
	f.ctx, cancel = context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var err error
	f.cloud, err = platform.NewCloud(f.ctx)
	require.NoError(t, err)
	f.group = platform.NewGroup("svc")
	f.cloud.Add(f.group)
	return f
}

func newFleetWithGrace(t *testing.T, grace int) *fleet {
	f := newFleetOf(t, grace, "memory_mb = 284")
	for i := range 3 {
		u, err := f.group.Start(platform.Options{
			ID: fmt.Sprintf("i-%d", i), Zone: fmt.Sprintf("z%d", i), Address: "127.0.0.1:0", Slots: 2, Queue: 16, Connections: 20, Work: time.Millisecond,
		})
		require.NoError(t, err)
		f.upstreams = append(f.upstreams, u)
	}
	for i := range 3 {
		f.cores = append(f.cores, f.start("core", f.settings("core", i, true, 0, 1, 2)))
		f.entries = append(f.entries, f.start("entry", f.settings("entry", i, true, 0, 1, 2)))
	}
	go f.cloud.Announce(f.ctx, f.controlAddresses(), 300*time.Millisecond)
	f.put(configuration{version: 1, rate: 500})
	for i := range 3 {
		f.eventually("entry host ready", func() bool { return f.ready(i) })
	}
	return f
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, eventuallyTimeout, pollInterval, what)
}

func (f *fleet) ready(i int) bool {
	return platform.Ready(fmt.Sprintf("%s:%d", f.ip(i), portReady))
}

// operator returns an operator that sends orders to a host.
func (f *fleet) operator(host int) platform.Operator {
	return platform.Operator{Address: f.controlAddresses()[host]}
}

// put sends a configuration to one host after the other until it is acknowledged.
func (f *fleet) put(c configuration) {
	f.version = c.version
	host := 0
	f.eventually("configuration acknowledged", func() bool {
		status := f.operator(host % 3).Configure(c.body())
		host++
		return status == http.StatusOK
	})
}

func (f *fleet) dial(host int, database, key, name string) (*platform.Client, error) {
	return platform.Dial(fmt.Sprintf("%s:%d", f.ip(host), portFront), database, key, name)
}

// do repeats a request, each time in a new session, until it is answered without an error.
func (f *fleet) do(host int, database, key, text string) platform.Answer {
	var answer platform.Answer
	f.eventually(text+" answered", func() bool {
		client, err := f.dial(host, database, key, fmt.Sprintf("%s-%x", database, rand.Uint64()))
		if err != nil {
			return false
		}
		defer client.Close()
		answer, err = client.Do(text)
		return err == nil && answer.Error == ""
	})
	return answer
}
