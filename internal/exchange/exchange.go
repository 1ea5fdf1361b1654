// Package exchange tells peers a few times a second what a gateway has running
// and what its accounts got, in one datagram each. A lost datagram is made up
// for by the next.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

const (
	// budgetBytes is the number of bytes a second that a process spends on
	// reports; the rest of the 4 KB that control may cost goes to the store.
	budgetBytes = 3700
	// fastest is the least time between two rounds of reports.
	fastest = 100 * time.Millisecond
	// slowest is the longest, whatever the size of the fleet: a round reaches a
	// part of the peers then.
	slowest = time.Second
	// silentAfter is the silence after which a peer is told more rarely: in one of
	// probeRounds rounds.
	silentAfter = 5 * time.Second
	probeRounds = 8
	// slowEvery is the pause between two tellings of what changes slowly.
	slowEvery = time.Second
	// datagramBytes bounds a report; larger ones are cut down by their sender.
	datagramBytes = 8 << 10
	// frameBytes is what a datagram costs besides its payload.
	frameBytes = 28
)

// HashName returns the hash by which reports name a process, target or account.
func HashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Source gives and takes reports.
type Source interface {
	// Report returns what peers are told; name, incarnation and sequence are
	// filled in by the exchange.
	// Slow says that what changes slowly is due too.
	Report(slow bool) *zinniaquayv1.GatewayReport
	// Merge takes over a peer's report, which is newer than those before.
	Merge(r *zinniaquayv1.GatewayReport)
}

// Exchange sends and receives the reports of one process.
type Exchange struct {
	self        catalog.Member
	incarnation uint32
	started     time.Time
	source      Source
	members     func() map[string]catalog.Member
	log         logr.Logger
	sent        metrics.Counter
	received    metrics.Counter
	bytes       metrics.Counter

	conn *net.UDPConn

	mu    sync.Mutex
	heard map[uint32]version
	// next is the place in the order of peers at which the next round begins.
	next int
	// slowAt is when what changes slowly was last told, and slowLeft the number
	// of peers that still have to hear it.
	slowAt   time.Time
	slowLeft int
}

// version orders the reports of a peer.
type version struct {
	incarnation, sequence uint32
	at                    time.Time
}

// New returns an exchange for a process.
func New(self catalog.Member, source Source, members func() map[string]catalog.Member, registry metrics.Registry,
	log logr.Logger) *Exchange {
	return &Exchange{
		self: self, incarnation: rand.Uint32(), started: time.Now(), source: source, members: members, log: log,
		heard:    make(map[uint32]version),
		sent:     metrics.GetOrRegisterCounter(telemetry.Name("peer_reports_sent_total"), registry),
		received: metrics.GetOrRegisterCounter(telemetry.Name("peer_reports_received_total"), registry),
		bytes:    metrics.GetOrRegisterCounter(telemetry.Name("peer_bytes_sent_total"), registry),
	}
}

// Listen opens the process's port for reports.
func (e *Exchange) Listen() error {
	addr, err := net.ResolveUDPAddr("udp4", e.self.Addr)
	if err != nil {
		return fmt.Errorf("peer address %s: %w", e.self.Addr, err)
	}
	e.conn, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return nil
}

// Receive takes reports in until the context ends.
func (e *Exchange) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		if err := e.conn.Close(); err != nil {
			e.log.Error(err, "port for peers left open")
		}
	})
	defer stop()
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, _, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				e.log.V(1).Info("report not received", "cause", err.Error())
			}
			continue
		}
		var r zinniaquayv1.GatewayReport
		if err := proto.Unmarshal(buffer[:n], &r); err != nil {
			e.log.Info("report can't be read", "bytes", n, "cause", err.Error())
			continue
		}
		e.take(&r)
	}
}

// take passes a report on unless a newer one came before.
func (e *Exchange) take(r *zinniaquayv1.GatewayReport) {
	if r.GetSender() == HashName(e.self.Name) {
		return
	}
	v := version{r.GetIncarnation(), r.GetSequence(), time.Now()}
	e.mu.Lock()
	old := e.heard[r.GetSender()]
	// Incarnations have no order; a report of an earlier one is overtaken by the
	// next of the present one.
	newer := v.incarnation != old.incarnation || v.sequence > old.sequence
	if newer {
		e.heard[r.GetSender()] = v
	}
	e.mu.Unlock()
	if newer {
		e.received.Inc(1)
		e.source.Merge(r)
	}
}

// Send tells peers again and again until the context ends.
func (e *Exchange) Send(ctx context.Context) {
	timer := time.NewTimer(fastest)
	defer timer.Stop()
	var sequence uint32
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		sequence++
		timer.Reset(e.round(sequence))
	}
}

// round sends one report to as many peers as the budget allows and returns the
// time until the next round.
func (e *Exchange) round(sequence uint32) time.Duration {
	peers := e.peers(sequence%probeRounds == 0)
	if len(peers) == 0 {
		return fastest
	}
	if e.slowLeft <= 0 && time.Since(e.slowAt) >= slowEvery {
		e.slowAt, e.slowLeft = time.Now(), len(peers)
	}
	r := e.source.Report(e.slowLeft > 0)
	r.Sender, r.Incarnation, r.Sequence = HashName(e.self.Name), e.incarnation, sequence
	data, err := proto.Marshal(r)
	if err != nil {
		e.log.Error(err, "report not sent")
		return slowest
	}
	cost := len(data) + frameBytes
	pause, reach := plan(cost, len(peers))
	for i := range reach {
		e.tell(peers[(e.next+i)%len(peers)], data)
	}
	e.next = (e.next + reach) % len(peers)
	e.slowLeft -= reach
	e.bytes.Inc(int64(cost * reach))
	return pause
}

// plan returns the time until the next round and the number of peers that this
// one reaches, given the bytes of a report.
func plan(cost, peers int) (pause time.Duration, reach int) {
	most := max(1, budgetBytes*int(slowest/time.Millisecond)/1000/cost)
	reach = min(peers, most)
	pause = time.Duration(cost*reach) * time.Second / budgetBytes
	return min(max(pause, fastest), slowest), reach
}

func (e *Exchange) tell(addr netip.AddrPort, data []byte) {
	if _, err := e.conn.WriteToUDPAddrPort(data, addr); err != nil {
		e.log.V(1).Info("report not sent", "peer", addr.String(), "cause", err.Error())
		return
	}
	e.sent.Inc(1)
}

// SinceLastReport returns how long a member has not been heard; since the process's own
// start if never.
func (e *Exchange) SinceLastReport(name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v, ok := e.heard[HashName(name)]; ok {
		return time.Since(v.at)
	}
	return time.Since(e.started)
}

// peers returns the addresses of the other members, in a lasting order; those
// that are silent only if all is true.
func (e *Exchange) peers(all bool) []netip.AddrPort {
	var peers []netip.AddrPort
	for name, m := range e.members() {
		if name == e.self.Name || !all && e.SinceLastReport(name) > silentAfter {
			continue
		}
		addr, err := netip.ParseAddrPort(m.Addr)
		if err != nil {
			e.log.V(1).Info("member without an address", "member", name, "cause", err.Error())
			continue
		}
		peers = append(peers, addr)
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	return peers
}
