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
	// sendTimeout is the timeout of a call to a peer. It is shorter than the election timeout, so that after a lost call the
	// next one still arrives before an election, and far longer than the 10 ms between regions.
	sendTimeout = 300 * time.Millisecond
	// snapshotTimeout is the timeout of a call that sends a snapshot.
	snapshotTimeout = 5 * time.Second
	// outboxSize is the maximum number of messages queued for one peer; further messages are dropped.
	outboxSize = 256
	// maxPeers is the maximum number of outboxes. There are only a few members, but the outboxes of former members' addresses
	// are kept.
	maxPeers = 64
)

var (
	sent        = metrics.NewCounter("tamarack_log_messages_sent_total")
	sendErrors  = metrics.NewCounter("tamarack_log_send_errors_total")
	sendDropped = metrics.NewCounter("tamarack_log_messages_dropped_total{side=\"send\"}")
)

// peers holds an outbox for each peer address, so that an unresponsive peer does not delay messages to the others.
type peers struct {
	network    *peer.Network
	client     *http.Client
	stop       chan struct{}
	goroutines *sync.WaitGroup
	outbox     map[string]chan *fleetpb.Message
	context    context.Context
	cancel     context.CancelFunc
}

func newPeers(network *peer.Network, stop chan struct{}, goroutines *sync.WaitGroup) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peers{
		network:    network,
		client:     network.Client(0),
		stop:       stop,
		goroutines: goroutines,
		outbox:     map[string]chan *fleetpb.Message{},
		context:    ctx,
		cancel:     cancel,
	}
	goroutines.Add(1)
	go func() {
		defer goroutines.Done()
		<-stop
		cancel()
	}()
	return p
}

// send queues a message; only the loop calls it.
func (p *peers) send(send quorum.Send) {
	outbox := p.outbox[send.Peer]
	if outbox == nil {
		if len(p.outbox) >= maxPeers {
			sendDropped.Inc()
			return
		}
		outbox = make(chan *fleetpb.Message, outboxSize)
		p.outbox[send.Peer] = outbox
		p.goroutines.Add(1)
		go p.deliver(send.Peer, outbox)
	}
	select {
	case outbox <- send.Message:
	default:
		sendDropped.Inc()
	}
}

// deliver sends the messages to one peer. Messages queued during a call are sent together in the next one.
func (p *peers) deliver(address string, outbox chan *fleetpb.Message) {
	defer p.goroutines.Done()
	client := fleetpb.NewQuorumProtobufClient(p.network.URL(address), p.client)
	for {
		select {
		case <-p.stop:
			return
		case m := <-outbox:
			p.step(client, collect(m, outbox))
		}
	}
}

// collect returns the message together with those that are already queued.
func collect(m *fleetpb.Message, outbox chan *fleetpb.Message) []*fleetpb.Message {
	messages := []*fleetpb.Message{m}
	for len(messages) < outboxSize {
		select {
		case m := <-outbox:
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
