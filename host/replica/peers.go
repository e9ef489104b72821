package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
)

const (
	// sendTimeout bounds a call to a peer. It is below the election timeout, so that after a lost call the next one still
	// arrives in time, and far above the 10 ms between regions.
	sendTimeout = 300 * time.Millisecond
	// snapshotTimeout bounds a call that carries a snapshot.
	snapshotTimeout = 5 * time.Second
	// outboxSize bounds the messages that wait for one peer; further ones are dropped.
	outboxSize = 256
	// maxPeers bounds the outboxes. Members are at most a handful; addresses of past members add to them.
	maxPeers = 64
)

var (
	sent        = metrics.NewCounter("tamarack_log_messages_sent_total")
	sendErrors  = metrics.NewCounter("tamarack_log_send_errors_total")
	sendDropped = metrics.NewCounter("tamarack_log_messages_dropped_total{side=\"send\"}")
)

// peers holds an outbox for each peer address, so that a frozen peer delays no other one.
type peers struct {
	client  *http.Client
	stop    chan struct{}
	parts   *sync.WaitGroup
	outbox  map[string]chan *fleetpb.Message
	context context.Context
	cancel  context.CancelFunc
}

func newPeers(secret string, stop chan struct{}, parts *sync.WaitGroup) *peers {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: sendTimeout}).DialContext,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
		IdleConnTimeout:     time.Minute,
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &peers{
		client:  &http.Client{Transport: &bearer{secret, transport}},
		stop:    stop,
		parts:   parts,
		outbox:  map[string]chan *fleetpb.Message{},
		context: ctx,
		cancel:  cancel,
	}
	parts.Add(1)
	go func() {
		defer parts.Done()
		<-stop
		cancel()
	}()
	return p
}

// send queues a message; only the loop calls it.
func (p *peers) send(send quorum.Send) {
	box := p.outbox[send.Peer]
	if box == nil {
		if len(p.outbox) >= maxPeers {
			sendDropped.Inc()
			return
		}
		box = make(chan *fleetpb.Message, outboxSize)
		p.outbox[send.Peer] = box
		p.parts.Add(1)
		go p.deliver(send.Peer, box)
	}
	select {
	case box <- send.Message:
	default:
		sendDropped.Inc()
	}
}

// deliver passes on one peer's messages; those that collect during a call share the next one.
func (p *peers) deliver(peer string, box chan *fleetpb.Message) {
	defer p.parts.Done()
	client := fleetpb.NewQuorumProtobufClient("http://"+peer, p.client)
	for {
		select {
		case <-p.stop:
			return
		case m := <-box:
			p.step(client, collect(m, box))
		}
	}
}

func collect(m *fleetpb.Message, box chan *fleetpb.Message) []*fleetpb.Message {
	messages := []*fleetpb.Message{m}
	for len(messages) < outboxSize {
		select {
		case m := <-box:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

func (p *peers) step(client fleetpb.Quorum, messages []*fleetpb.Message) {
	timeout := sendTimeout
	for _, m := range messages {
		if m.GetSnapshot() != nil {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(p.context, timeout)
	defer cancel()
	if _, err := client.Step(ctx, &fleetpb.StepRequest{Messages: messages}); err != nil {
		sendErrors.Inc()
		return
	}
	sent.Add(len(messages))
}

func (p *peers) close() {
	p.client.CloseIdleConnections()
}

// bearer adds the fleet secret to requests and drops headers that the service does not read. An idle control host sends
// about 20 requests a second, most of whose bytes are headers.
type bearer struct {
	secret    string
	transport *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("Authorization", "Bearer "+b.secret)
	request.Header.Del("Accept")
	request.Header.Del("Twirp-Version")
	// An empty value keeps net/http from adding its own.
	request.Header.Set("User-Agent", "")
	return b.transport.RoundTrip(request)
}

// CloseIdleConnections lets http.Client close the connections of the transport.
func (b *bearer) CloseIdleConnections() {
	b.transport.CloseIdleConnections()
}
