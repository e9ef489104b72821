package relay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo starts a server that sends back all bytes that it receives, and returns its address.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(socket, socket) }()
		}
	}()
	return listener.Addr().String()
}

// Guards against relays that lose or reorder bytes or forward them on a frozen or cut link, and against a wrong source
// process. Partition tests would then run without a partition, or with one between other processes.
func TestRelayFreezesAndCutsTheLinkOfItsSource(t *testing.T) {
	identify := func(accepted net.Conn) string {
		pid, err := PeerProcess(accepted, []int{os.Getpid()})
		if err != nil || pid != os.Getpid() {
			return "other"
		}
		return "client"
	}
	network := NewNetwork(identify, nil)
	t.Cleanup(network.Close)
	relay, err := network.Listen("127.0.0.1:0", "", "echo", echo(t))
	require.NoError(t, err)
	socket, err := net.Dial("tcp", relay.Address())
	require.NoError(t, err)
	t.Cleanup(func() { socket.Close() })
	exchange := func(text string) {
		_, err := socket.Write([]byte(text))
		require.NoError(t, err)
		got := make([]byte, len(text))
		_, err = io.ReadFull(socket, got)
		require.NoError(t, err)
		require.Equal(t, text, string(got))
	}
	link := network.Link("client", "echo")
	exchange("before")

	link.Freeze()
	_, err = socket.Write([]byte("frozen"))
	require.NoError(t, err)
	require.NoError(t, socket.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = socket.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, socket.SetReadDeadline(time.Time{}))
	link.Heal()
	got := make([]byte, len("frozen"))
	_, err = io.ReadFull(socket, got)
	require.NoError(t, err)
	sent, received := link.Bytes()
	require.Equal(t, uint64(len("beforefrozen")), sent)
	require.Equal(t, sent, received)

	link.Cut()
	_, err = socket.Read(make([]byte, 1))
	require.Error(t, err)
	again, err := net.Dial("tcp", relay.Address())
	require.NoError(t, err)
	defer again.Close()
	_, err = again.Read(make([]byte, 1))
	require.Error(t, err)
}
