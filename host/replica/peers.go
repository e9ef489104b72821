package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tamarackshunt.dev/fleet/fleetpb"
	"tamarackshunt.dev/fleet/quorum"
	"tamarackshunt.dev/host/peer"
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
	network *peer.Network
	client  *http.Client
	stop    chan struct{}
	parts   *sync.WaitGroup
	outbox  map[string]chan *fleetpb.Message
	context context.Context
	cancel  context.CancelFunc
}

func newPeers(network *peer.Network, stop chan struct{}, parts *sync.WaitGroup) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peers{
		network: network,
		client:  network.Client(0),
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
func (p *peers) deliver(address string, box chan *fleetpb.Message) {
	defer p.parts.Done()
	client := fleetpb.NewQuorumProtobufClient(p.network.URL(address), p.client)
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
