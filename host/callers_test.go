package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"tamarackshunt.dev/fleet/certificate"
	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/host/peer"
	"tamarackshunt.dev/standin/ledger"
	"tamarackshunt.dev/standin/server"
)

// The machine of these tests is small, so that a small crowd shows the same faults as a large one on a real machine.
const (
	crowdMemory      = 64
	crowdDescriptors = 400
	fileDescriptors  = 200
	crowdSize        = 60
	silentSize       = 400
	// largeMessage is the size of a large legal message in bytes.
	largeMessage = 1 << 20
	// sendTimeout ends the sending of a caller whose host no longer reads, and settleTime is the time in which a host reads the rest.
	sendTimeout = 4 * time.Second
	settleTime  = time.Second
	crowdWait   = 40 * time.Second
)

// programFolder is the folder of the built program; it is empty before buildProgram.
var programFolder string

// buildProgram builds the program once and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "tamarack-host")
	if err != nil {
		return "", err
	}
	programFolder = folder
	path := filepath.Join(folder, "tamarack-host")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// TestMain removes the built program.
func TestMain(m *testing.M) {
	code := m.Run()
	if programFolder != "" {
		_ = os.RemoveAll(programFolder)
	}
	os.Exit(code)
}

// crowd is one host on a small machine, with the connections of callers that do not behave.
type crowd struct {
	t            *testing.T
	caller, peer string
	command      *exec.Cmd
	done         chan struct{}
	mu           sync.Mutex
	connections  []net.Conn
	descriptors  int
}

const crowdConfiguration = `zones: [{name: z1, region: r1}]
services:
  - name: orders
    upstreams: 1
    slots: 4
    connections: 20
    age: 2s
    deadline: 5s
    routes: [{name: guests, open: true, team: guests}, {name: staff, open: true, team: staff}]
teams: [{name: guests, rate: 500, burst: 500}, {name: staff, rate: 500, burst: 500}]
`

func newCrowd(t *testing.T) *crowd {
	path, err := buildProgram()
	require.NoError(t, err)
	// The ports are below those of outgoing connections, and the address is another one in each test.
	ip := fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), 1+rand.IntN(250))
	c := &crowd{t: t, caller: ip + ":21121", peer: ip + ":21122", done: make(chan struct{})}
	settings := filepath.Join(t.TempDir(), "host.yaml")
	require.NoError(t, os.WriteFile(settings, fmt.Appendf(nil, `host: c1
zone: z1
region: r1
caller: %q
peer: %q
data: %q
control: [{host: c1, peer: %q}]
secrets: {fleet: %s, operator: %s, announce: %s, user: tamarack, password: password}
limits: {memory: %d, descriptors: %d}
`, c.caller, c.peer, t.TempDir(), c.peer, secrets.GetFleet(), secrets.GetOperator(), secrets.GetAnnounce(), crowdMemory, crowdDescriptors), 0o600))
	c.startUpstream()
	c.command = exec.Command(path, "--settings", settings)
	var log bytes.Buffer
	c.command.Stdout, c.command.Stderr = &log, &log
	require.NoError(t, c.command.Start())
	go func() {
		_ = c.command.Wait()
		close(c.done)
	}()
	t.Cleanup(func() {
		c.hangUp()
		_ = c.command.Process.Kill()
		<-c.done
		if t.Failed() {
			t.Logf("log: %s", log.String()[max(0, log.Len()-6000):])
		}
	})
	c.configure()
	c.ask("before")
	go c.sample()
	return c
}

// startUpstream starts a stand-in for the only upstream, which announces itself to the host.
func (c *crowd) startUpstream() {
	srv := server.New(server.Options{
		Upstream: "u1", User: "tamarack", Password: "password", Slots: 4, Connections: 20, Work: time.Millisecond, Ledger: ledger.New(nil, nil),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(srv.Close)
	c.t.Cleanup(cancel)
	go func() { _ = srv.Serve(listener) }()
	calls, err := certificate.NewHosts(nil)
	require.NoError(c.t, err)
	announcer := server.NewAnnouncer(calls, []string{c.peer}, secrets.GetAnnounce(), server.Announcement{
		Service: "orders", Upstream: "u1", Address: listener.Addr().String(), Zone: "z1", Region: "r1",
	}, server.NewFaults(0))
	go announcer.Run(ctx)
}

func (c *crowd) configure() {
	network := peer.New(peer.Options{Secret: secrets.GetOperator()})
	c.t.Cleanup(network.Close)
	control := fleetpb.NewControlProtobufClient("http://"+c.peer, network.Client(time.Second))
	require.Eventually(c.t, func() bool {
		answer, err := control.Apply(c.t.Context(), &fleetpb.ApplyRequest{Id: "first", Source: []byte(crowdConfiguration), File: "fleet.yaml"})
		return err == nil && answer.GetAccepted()
	}, crowdWait, settleTime/10, "configuration accepted")
}

// ask sends one ordinary request of another team, on a new connection each time, until it is answered.
func (c *crowd) ask(id string) {
	number := 0
	require.Eventually(c.t, func() bool {
		number++
		err := c.store(fmt.Sprintf("%s-%d", id, number), "x")
		if err != nil {
			c.t.Log("not answered:", err)
		}
		return err == nil
	}, crowdWait, settleTime/10, "ordinary request answered")
}

// store writes a record on a new connection.
func (c *crowd) store(id, note string) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), sendTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://anna@%s/staff?sslmode=disable", c.caller))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, `INSERT INTO orders (id, team, "user", note) VALUES ($1, $2, $3, $4)`, id, "staff", "anna", note)
	return err
}

// sample records the number of descriptors until the process ends.
func (c *crowd) sample() {
	for {
		select {
		case <-c.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.command.Process.Pid))
		c.mu.Lock()
		c.descriptors = max(c.descriptors, len(entries))
		c.mu.Unlock()
	}
}

func (c *crowd) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
}

// open opens a connection that stays open until the end of the test.
func (c *crowd) open(address string) net.Conn {
	connection, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections = append(c.connections, connection)
	return connection
}

// session opens a connection and sends the startup message. With read it drops all answers.
func (c *crowd) session(read bool) net.Conn {
	connection := c.open(c.caller)
	if connection == nil {
		return nil
	}
	if read {
		go func() { _, _ = io.Copy(io.Discard, connection) }()
	}
	parameters := "user\x00bob\x00database\x00guests\x00\x00"
	startup := binary.BigEndian.AppendUint32(nil, uint32(8+len(parameters)))
	startup = binary.BigEndian.AppendUint32(startup, 3<<16)
	c.send(connection, append(startup, parameters...))
	return connection
}

// send sends what the host reads; it may refuse the rest or close the connection.
func (c *crowd) send(connection net.Conn, message []byte) {
	if connection != nil {
		_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, _ = connection.Write(message)
	}
}

// message returns a message of the protocol.
func message(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(4+len(body))), body...)
}

// filler returns text of a size in bytes.
func filler(size int) string { return strings.Repeat("x", size) }

// check checks what has to hold while the crowd's connections are still open.
func (c *crowd) check() {
	time.Sleep(settleTime)
	c.ask("after")
	select {
	case <-c.done:
		require.Fail(c.t, "the process has ended")
	default:
	}
	c.mu.Lock()
	descriptors := c.descriptors
	c.mu.Unlock()
	peak := peakMemory(c.t, c.command.Process.Pid)
	c.t.Logf("peak memory %d MiB of %d, at most %d descriptors of %d", peak>>20, crowdMemory, descriptors, crowdDescriptors-fileDescriptors)
	require.LessOrEqual(c.t, peak, crowdMemory<<20, "peak memory")
	require.LessOrEqual(c.t, descriptors, crowdDescriptors-fileDescriptors, "descriptors")
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t *testing.T, pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes << 10
}

// Guards against a host that holds as much as its callers send, in messages of each kind, or as many connections as they open.
func TestCrowd(t *testing.T) {
	query := message('Q', "INSERT INTO orders (id) VALUES ('"+filler(largeMessage)+"')\x00")
	parse := func(name, text string) []byte { return message('P', name+"\x00"+text+"\x00\x00\x00") }
	kinds := []struct {
		name   string
		size   int
		behave func(c *crowd, i int)
	}{
		{"large", crowdSize, func(c *crowd, _ int) {
			connection := c.session(true)
			for range 3 {
				c.send(connection, query)
			}
		}},
		{"far over the limit", crowdSize, func(c *crowd, _ int) { c.send(c.session(true), message('Q', filler(16<<20))) }},
		{"without an end", crowdSize, func(c *crowd, _ int) { c.send(c.session(true), query[:largeMessage]) }},
		{"first message without an end", crowdSize, func(c *crowd, _ int) {
			c.send(c.open(c.caller), append([]byte{0, 0x10, 0, 0, 0, 3, 0, 0}, filler(largeMessage)...))
		}},
		{"sent ahead", crowdSize, func(c *crowd, _ int) {
			c.send(c.session(false), bytes.Repeat(message('Q', "SET a = 1\x00"), 20_000))
		}},
		{"without a sync", crowdSize, func(c *crowd, _ int) {
			c.send(c.session(true), bytes.Repeat(parse("", "SELECT '"+filler(1000)+"'"), 4000))
		}},
		{"large settings", crowdSize, func(c *crowd, _ int) {
			connection := c.session(true)
			for range 4 {
				c.send(connection, message('Q', "SET a = '"+filler(largeMessage)+"'\x00"))
			}
		}},
		{"large statements", crowdSize, func(c *crowd, _ int) {
			connection := c.session(true)
			for n := range 4 {
				c.send(connection, append(parse(fmt.Sprint("name", n), "SELECT '"+filler(largeMessage)+"'"), message('S', "")...))
			}
		}},
		{"many statements", crowdSize / 2, func(c *crowd, _ int) {
			connection := c.session(true)
			var messages []byte
			for n := range 15_000 {
				messages = append(messages, parse(fmt.Sprint("name", n), fmt.Sprint("SELECT ", n))...)
				if n%1000 == 0 {
					messages = append(messages, message('S', "")...)
				}
			}
			c.send(connection, messages)
		}},
		{"silent", silentSize, func(c *crowd, i int) {
			if i%2 == 0 {
				c.session(true)
			} else {
				c.open(c.caller)
			}
		}},
		{"orders", crowdSize, func(c *crowd, i int) {
			header := "POST /twirp/fleet.Control/Apply HTTP/1.1\r\nHost: c\r\nAuthorization: Bearer " + secrets.GetOperator() + "\r\n"
			header += "Content-Type: application/json\r\n"
			if i%2 == 0 {
				header += "Name: " + filler(largeMessage)
			}
			c.send(c.open(c.peer), fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n{\"id\":\"%s", header, 4<<20, filler(3<<20)))
		}},
		{"silent orders", silentSize, func(c *crowd, _ int) { c.open(c.peer) }},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			c := newCrowd(t)
			var callers sync.WaitGroup
			for i := range kind.size {
				callers.Go(func() { kind.behave(c, i) })
			}
			callers.Wait()
			c.check()
			response, err := http.Get("http://" + c.peer + "/metrics")
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		})
	}
}

// Guards against a bound that refuses a single legal message, on an idle host or on one that holds some messages without an end.
func TestCrowdServesLargeMessage(t *testing.T) {
	c := newCrowd(t)
	require.NoError(t, c.store("idle", filler(largeMessage)))
	for range crowdSize / 5 {
		c.send(c.session(true), message('Q', filler(largeMessage))[:largeMessage])
	}
	time.Sleep(settleTime)
	require.NoError(t, c.store("used", filler(largeMessage)))
	c.check()
}
