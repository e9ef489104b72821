package relay

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// CallerIP is the source address of the load program's connections as a caller, by which relays recognize them. There are
// thousands; a search of the load program's open files for each one starved everything else on the machine.
var CallerIP = net.IPv4(127, 0, 0, 2)

// FromCaller reports whether the other end of a connection is a caller of the load program.
func FromCaller(connection net.Conn) bool {
	source, ok := connection.RemoteAddr().(*net.TCPAddr)
	return ok && source.IP.Equal(CallerIP)
}

// PeerProcess returns the id of the process among pids that has the other end of a connection on 127.0.0.0/8, or 0 if none
// has. It gets that socket's inode from the kernel and searches the open files of these processes for it.
func PeerProcess(connection net.Conn, pids []int) (int, error) {
	inode, err := peerInode(connection)
	if err != nil {
		return 0, err
	}
	target := "socket:[" + strconv.FormatUint(uint64(inode), 10) + "]"
	for _, pid := range pids {
		if hasSocket(pid, target) {
			return pid, nil
		}
	}
	return 0, nil
}

func hasSocket(pid int, socket string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	file, err := os.Open(folder)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }()
	names, err := file.Readdirnames(-1)
	if err != nil {
		return false
	}
	for _, name := range names {
		if target, err := os.Readlink(folder + "/" + name); err == nil && target == socket {
			return true
		}
	}
	return false
}

// Sizes, offsets and values of a sock_diag(7) request for one TCP socket and of its answer; offsets are relative to the end
// of the netlink header.
const (
	headerSize        = unix.NLMSG_HDRLEN
	requestSize       = 56
	requestPorts      = 8
	requestSource     = 12
	requestTarget     = 28
	requestCookie     = 48
	answerInode       = 68
	answerSize        = 72
	anyState          = 0xffffffff
	noCookie          = 0xffffffff
	netlinkBytes      = 4096
	diagByFamily      = 20
	netlinkSocketType = unix.SOCK_RAW | unix.SOCK_CLOEXEC
)

// peerInode queries the kernel for the inode of the socket at the other end of a connection within this machine. It doesn't
// read /proc/net/tcp, since that lists all sockets of the machine and is too slow to read for each connection.
func peerInode(connection net.Conn) (uint32, error) {
	source, ok := connection.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return 0, trace.BadParameter("%T is not a TCP address", connection.RemoteAddr())
	}
	target, ok := connection.LocalAddr().(*net.TCPAddr)
	if !ok {
		return 0, trace.BadParameter("%T is not a TCP address", connection.LocalAddr())
	}
	fd, err := unix.Socket(unix.AF_NETLINK, netlinkSocketType, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, trace.Wrap(err, "netlink socket")
	}
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, diagRequest(source, target), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, trace.Wrap(err, "asking for a socket")
	}
	answer := make([]byte, netlinkBytes)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, trace.Wrap(err, "asking for a socket")
	}
	kind := binary.NativeEndian.Uint16(answer[4:])
	if n < headerSize+answerSize || kind != diagByFamily {
		return 0, trace.NotFound("no socket from %s to %s", source, target)
	}
	return binary.NativeEndian.Uint32(answer[headerSize+answerInode:]), nil
}

func diagRequest(source, target *net.TCPAddr) []byte {
	message := make([]byte, headerSize+requestSize)
	binary.NativeEndian.PutUint32(message[0:], uint32(len(message)))
	binary.NativeEndian.PutUint16(message[4:], diagByFamily)
	binary.NativeEndian.PutUint16(message[6:], unix.NLM_F_REQUEST)
	request := message[headerSize:]
	request[0], request[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[4:], anyState)
	binary.BigEndian.PutUint16(request[requestPorts:], uint16(source.Port))
	binary.BigEndian.PutUint16(request[requestPorts+2:], uint16(target.Port))
	copy(request[requestSource:], source.IP.To4())
	copy(request[requestTarget:], target.IP.To4())
	binary.NativeEndian.PutUint32(request[requestCookie:], noCookie)
	binary.NativeEndian.PutUint32(request[requestCookie+4:], noCookie)
	return message
}
