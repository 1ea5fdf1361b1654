package exchange

import (
	"math/rand/v2"
	"time"
)

// News spreads as a rumor does: each process that learns something passes it on to a
// few peers, a few times. So the time until all know grows with the logarithm of the
// size of the fleet and not with the size itself, and no single datagram matters.
const (
	// NewsFanout is the number of peers in a round of news.
	NewsFanout = 4
	// NewsRounds is the number of rounds in which a process passes on what it has
	// learned, NewsInterval apart.
	NewsRounds   = 2
	NewsInterval = 50 * time.Millisecond
	// newsBurstBytes is the bandwidth that news may use ahead of the bandwidth limit;
	// reports make up for it by pauses that are longer by a part of newsPauseDivisor, so
	// that they never come much later.
	newsBurstBytes   = 2 << 10
	newsPauseDivisor = 20
)

// newsRounds plans the rounds of news of one process.
type newsRounds struct {
	left int
	last time.Time
	// debtBytes is what news used of the bandwidth limit and reports did not make up
	// for yet.
	debtBytes int
}

// start begins to pass on news.
func (n *newsRounds) start() { n.left = NewsRounds }

// wait returns the time until the next round.
func (n *newsRounds) wait(now time.Time) time.Duration { return max(0, NewsInterval-now.Sub(n.last)) }

// delay returns the pause after a round of reports that makes up for news.
func (n *newsRounds) delay(pause time.Duration) time.Duration {
	extra := min(time.Duration(n.debtBytes)*time.Second/budgetBytesPerSecond, pause/newsPauseDivisor)
	n.debtBytes -= int(extra * budgetBytesPerSecond / time.Second)
	return pause + extra
}

// sendNews sends one round of news. It reports whether another is to follow.
func (e *Exchange) sendNews(now time.Time) bool {
	if e.news.left == 0 {
		return false
	}
	e.news.last = now
	report := e.source.NewsReport()
	if report == nil {
		e.news.left = 0
		return false
	}
	data, cost, err := e.encode(report)
	if err != nil {
		e.log.Error(err, "encode news failed")
		return false
	}
	peers := e.peers(true)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), NewsFanout)] {
		if e.news.debtBytes+cost > newsBurstBytes {
			return true
		}
		e.sendTo(peer, data)
		e.news.debtBytes += cost
		e.bytesSent.Inc(int64(cost))
	}
	e.news.left--
	return e.news.left > 0
}
