package expiry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"tamarackshunt.dev/fleet/ident"
)

// connectionKey is the context key of the connection of a call.
type connectionKey struct{}

// WithConnection returns a context for the calls that arrive on a connection.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// Arrived returns the time at which the last bytes of a call reached this machine, or now if that is not known.
func Arrived(ctx context.Context, now ident.Time) ident.Time {
	at, _ := arrived(ctx, now)
	return at
}

// arrived returns the time at which the last bytes of a call reached this machine, within milliseconds, for a call that is handled at now. It
// returns false if that is not known.
func arrived(ctx context.Context, now ident.Time) (ident.Time, bool) {
	connection, found := ctx.Value(connectionKey{}).(net.Conn)
	if !found {
		return now, false
	}
	wait, known := waited(connection)
	return now.Add(-wait), known
}

// Closed reports whether the sender of a call has closed its connection, so that nobody receives the answer. A call that a cut held up often
// arrives together with the end of its connection.
func Closed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	connection, found := ctx.Value(connectionKey{}).(net.Conn)
	if !found {
		return false
	}
	info := kernelInfo(connection)
	return info != nil && info.State != unix.BPF_TCP_ESTABLISHED
}

// unsupported is set if the kernel does not tell when it received data, so that it is not asked for each call.
var unsupported atomic.Bool

// waited returns the time since the kernel received the last data of a connection, or false if the kernel does not tell. It receives data
// while the process is stopped, and before the connection is accepted.
func waited(connection net.Conn) (time.Duration, bool) {
	info := kernelInfo(connection)
	if info == nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// kernelInfo returns what the kernel knows of a connection, or nil if it does not tell.
func kernelInfo(connection net.Conn) *unix.TCPInfo {
	socket, ok := underlying(connection).(*net.TCPConn)
	if !ok || unsupported.Load() {
		return nil
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var refused error
	err = control.Control(func(fd uintptr) {
		info, refused = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil
	}
	// No connection has the state 0.
	if refused != nil || info.State == 0 {
		unsupported.Store(true)
		return nil
	}
	return info
}
