// Package exchange sends a gateway's running requests and account usage to its
// peers a few times a second, in one UDP datagram per peer. The next report makes
// up for a lost datagram.
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
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
	"github.com/zinniaquay/zinniaquay/internal/catalog"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
)

const (
	// budgetBytesPerSecond is the bandwidth limit for a process's reports. Control
	// traffic may use 4 KB a second; the rest is left for the store.
	budgetBytesPerSecond = 3700
	// minRoundInterval is the minimum time between two rounds of sending reports.
	minRoundInterval = 100 * time.Millisecond
	// maxRoundInterval is the maximum time between two rounds, whatever the size of
	// the fleet: in a large fleet each round reaches only some of the peers.
	maxRoundInterval = time.Second
	// silentAfter is the time without a report after which a peer is sent reports
	// less often: in one of silentPeerRounds rounds.
	silentAfter      = 8 * time.Second
	silentPeerRounds = 8
	// slowFieldsInterval is the interval at which slowly changing fields are sent.
	slowFieldsInterval = time.Second
	// maxDatagramBytes is the maximum size of a report; senders truncate larger
	// ones.
	maxDatagramBytes = 8 << 10
	// maxNewcomers bounds the peers that have just started and wait for a report at once,
	// and newcomersPerSecond the reports for them, which come beside the bandwidth limit.
	maxNewcomers       = 32
	newcomersPerSecond = 20
	// datagramOverheadBytes is the size of a datagram's headers.
	datagramOverheadBytes = 28
)

// HashName returns the hash that identifies a process, target or account in
// reports.
func HashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Source creates the process's own reports and applies those of its peers.
type Source interface {
	// Report returns the process's report on loads; the exchange fills in sender,
	// incarnation and sequence. slow is set if the slowly changing fields are due
	// too.
	Report(slow bool) *zinniaquayv1.GatewayReport
	// UsageReport returns the report on the usage of accounts at this process, for peers of
	// its availability zone.
	UsageReport() *zinniaquayv1.GatewayReport
	// ZoneUsageReport returns the report on the usage of accounts in the process's
	// availability zone, for peers of others, or nil if too little is known of it.
	ZoneUsageReport() *zinniaquayv1.GatewayReport
	// News receives a value when there is news that can't wait for the next reports.
	News() <-chan struct{}
	// NewsReport returns a short report with such news, or nil if there is none after
	// all.
	NewsReport() *zinniaquayv1.GatewayReport
	// Merge applies a peer's report, which is newer than the earlier ones.
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
	bytesSent   metrics.Counter

	conn *net.UDPConn
	// newcomers receives the addresses of peers that have just started.
	newcomers       chan netip.AddrPort
	newcomerLimiter *rate.Limiter

	mu     sync.Mutex
	latest map[uint32]reportVersion
	// sequence is that of the latest report, and rounds the number of rounds.
	sequence, rounds uint32
	news             newsRounds
	usage            usageRounds
	// countsDue returns the reports on the starts of requests that are due, nil if none ever
	// are, and countsRate is the bandwidth of the latest ones in bytes a second.
	countsDue  func() []CountReport
	countsRate int
	// nextPeer is the index in the sorted peers at which the next round begins.
	nextPeer int
	// slowFieldsSentAt is when the slowly changing fields were last due, and
	// slowFieldsPeersLeft the number of peers that they must still be sent to.
	slowFieldsSentAt    time.Time
	slowFieldsPeersLeft int
}

// reportVersion orders the reports of one peer.
type reportVersion struct {
	incarnation, sequence uint32
	at                    time.Time
}

// New returns an exchange for a process.
func New(self catalog.Member, source Source, members func() map[string]catalog.Member, registry metrics.Registry,
	log logr.Logger) *Exchange {
	return &Exchange{
		self: self, incarnation: rand.Uint32(), started: time.Now(), source: source, members: members, log: log,
		latest:    make(map[uint32]reportVersion),
		newcomers: make(chan netip.AddrPort, maxNewcomers), newcomerLimiter: rate.NewLimiter(newcomersPerSecond, maxNewcomers),
		sent:      metrics.GetOrRegisterCounter(telemetry.Name("peer_reports_sent_total"), registry),
		received:  metrics.GetOrRegisterCounter(telemetry.Name("peer_reports_received_total"), registry),
		bytesSent: metrics.GetOrRegisterCounter(telemetry.Name("peer_bytes_sent_total"), registry),
	}
}

// Listen opens the UDP socket for reports.
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

// Receive reads and applies reports until the context ends.
func (e *Exchange) Receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		if err := e.conn.Close(); err != nil {
			e.log.Error(err, "close report socket failed")
		}
	})
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				e.log.V(1).Info("receive report failed", "cause", err.Error())
			}
			continue
		}
		var r zinniaquayv1.GatewayReport
		if err := proto.Unmarshal(buffer[:n], &r); err != nil {
			e.log.Info("decode report failed", "bytes", n, "cause", err.Error())
			continue
		}
		if e.accept(&r) {
			e.welcome(from)
		}
	}
}

// welcome has a report sent at once to a peer that has just started: it must not serve before
// it knows whether its view of the store is older than its peers'.
func (e *Exchange) welcome(addr netip.AddrPort) {
	if !e.newcomerLimiter.Allow() {
		return // it gets the next reports
	}
	select {
	case e.newcomers <- addr:
	default: // it gets the next reports
	}
}

// accept merges a report unless the same or a newer one from its sender was
// received, which doesn't matter for counts of starts. It reports whether it is the first of this incarnation of the sender.
func (e *Exchange) accept(r *zinniaquayv1.GatewayReport) bool {
	if r.GetSender() == HashName(e.self.Name) {
		return false
	}
	v := reportVersion{r.GetIncarnation(), r.GetSequence(), time.Now()}
	e.mu.Lock()
	old := e.latest[r.GetSender()]
	// Incarnations are random and have no order. If a late report of an earlier
	// incarnation is merged, the next report of the current one replaces it.
	newer := v.incarnation != old.incarnation || v.sequence > old.sequence
	if newer {
		e.latest[r.GetSender()] = v
	}
	e.mu.Unlock()
	// Counts of starts only grow, so that reports on them needn't come in order.
	if newer || r.GetStarts() != nil {
		e.received.Inc(1)
		e.source.Merge(r)
	}
	return v.incarnation != old.incarnation
}

// Send sends rounds of reports to peers until the context ends.
func (e *Exchange) Send(ctx context.Context) {
	timer := time.NewTimer(minRoundInterval)
	defer timer.Stop()
	usageTimer := time.NewTimer(minUsageInterval)
	defer usageTimer.Stop()
	countsTimer := time.NewTimer(countsInterval)
	defer countsTimer.Stop()
	newsTimer := time.NewTimer(0)
	defer newsTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(e.sendRound())
		case <-usageTimer.C:
			usageTimer.Reset(e.sendUsageRound())
		case <-countsTimer.C:
			countsTimer.Reset(e.sendCounts())
		case addr := <-e.newcomers:
			e.sendReport(addr)
		case <-e.source.News():
			e.news.start()
			newsTimer.Reset(e.news.wait(time.Now()))
		case <-newsTimer.C:
			if e.sendNews(time.Now()) {
				newsTimer.Reset(NewsInterval)
			}
		}
	}
}

// sendRound sends one report to as many peers as the bandwidth limit allows and
// returns the time until the next round.
func (e *Exchange) sendRound() time.Duration {
	e.rounds++
	peers := e.peers(e.rounds%silentPeerRounds == 0)
	if len(peers) == 0 {
		return minRoundInterval
	}
	if e.slowFieldsPeersLeft <= 0 && time.Since(e.slowFieldsSentAt) >= slowFieldsInterval {
		e.slowFieldsSentAt, e.slowFieldsPeersLeft = time.Now(), len(peers)
	}
	data, cost, err := e.encode(e.source.Report(e.slowFieldsPeersLeft > 0))
	if err != nil {
		e.log.Error(err, "encode report failed")
		return maxRoundInterval
	}
	pause, count := planRound(cost, len(peers), budgetBytesPerSecond-e.usage.bytesPerSecond-e.countsRate)
	for i := range count {
		e.sendTo(peers[(e.nextPeer+i)%len(peers)], data)
	}
	e.nextPeer = (e.nextPeer + count) % len(peers)
	e.slowFieldsPeersLeft -= count
	e.bytesSent.Inc(int64(cost * count))
	return e.news.delay(pause)
}

// sendReport sends reports on loads and usage to one peer.
func (e *Exchange) sendReport(addr netip.AddrPort) {
	data, cost, err := e.encode(e.source.Report(true))
	if err != nil {
		e.log.Error(err, "encode report failed")
		return
	}
	e.sendTo(addr, data)
	e.bytesSent.Inc(int64(cost))
	e.sendUsage(e.usageReportFor(addr), func(int) []netip.AddrPort { return []netip.AddrPort{addr} })
}

// encode returns a report as the next datagram of this process, and its size on the
// network in bytes.
func (e *Exchange) encode(r *zinniaquayv1.GatewayReport) (data []byte, cost int, err error) {
	e.sequence++
	r.Sender, r.Incarnation, r.Sequence = HashName(e.self.Name), e.incarnation, e.sequence
	data, err = proto.Marshal(r)
	return data, len(data) + datagramOverheadBytes, err
}

// planRound returns the time until the next round and the number of peers in this
// one. cost is the size of a report in bytes, and budget that of a second.
func planRound(cost, peers, budget int) (pause time.Duration, count int) {
	maxCount := max(1, budget*int(maxRoundInterval/time.Millisecond)/1000/cost)
	count = min(peers, maxCount)
	pause = time.Duration(cost*count) * time.Second / time.Duration(budget)
	return min(max(pause, minRoundInterval), maxRoundInterval), count
}

func (e *Exchange) sendTo(addr netip.AddrPort, data []byte) {
	if _, err := e.conn.WriteToUDPAddrPort(data, addr); err != nil {
		e.log.V(1).Info("send report failed", "peer", addr.String(), "cause", err.Error())
		return
	}
	e.sent.Inc(1)
}

// SinceLastReport returns the time since the last report of a member, or since
// the process's own start if there was none.
func (e *Exchange) SinceLastReport(name string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v, ok := e.latest[HashName(name)]; ok {
		return time.Since(v.at)
	}
	return time.Since(e.started)
}

// Silent reports whether no report of a member came for silentAfter.
func (e *Exchange) Silent(name string) bool { return e.SinceLastReport(name) > silentAfter }

// peers returns the sorted addresses of the other members. Members without a
// recent report are left out unless includeSilent is set.
func (e *Exchange) peers(includeSilent bool) []netip.AddrPort {
	var peers []netip.AddrPort
	for name, m := range e.members() {
		if name == e.self.Name || !includeSilent && e.Silent(name) {
			continue
		}
		addr, err := netip.ParseAddrPort(m.Addr)
		if err != nil {
			e.log.V(1).Info("member has an invalid address", "member", name, "cause", err.Error())
			continue
		}
		peers = append(peers, addr)
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	return peers
}
