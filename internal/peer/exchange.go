package peer

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// ExchangeTimeout is the longest time that one exchange may take.
const ExchangeTimeout = 500 * time.Millisecond

// Exchange answers a peer that compares what it knows with this process.
func (n *Node) Exchange(_ context.Context, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	from := req.GetFrom()
	members := req.GetMembers()
	if from != nil {
		members = append(append([]*zinniaquayv1.Member(nil), members...), from)
	}
	n.learn(members, req.GetVerdicts())
	n.peerAnswered(from)
	n.note(req.GetConfigurationNumber(), from.GetAddr())
	resp := &zinniaquayv1.ExchangeResponse{
		ConfigurationNumber: n.Store.Number(),
		MembersDigest:       n.Members.Digest(),
		Verdicts:            n.Verdicts.Verdicts(),
		HeardNumber:         n.heardNumber(),
	}
	if req.GetWantMembers() {
		resp.Members = n.Members.All()
	}
	return resp, nil
}

// FetchConfiguration answers a peer that asks for a newer configuration.
func (n *Node) FetchConfiguration(_ context.Context, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return n.Store.Fetch(req)
}

// request returns a request that tells a peer what this process has.
func (n *Node) request() *zinniaquayv1.ExchangeRequest {
	return &zinniaquayv1.ExchangeRequest{
		ConfigurationNumber: n.Store.Number(),
		MembersDigest:       n.Members.Digest(),
		Verdicts:            n.Verdicts.Verdicts(),
		From:                n.Members.Self(),
	}
}

// exchange calls a peer and takes in its answer. The member is nil where only
// the address is known.
func (n *Node) exchange(ctx context.Context, addr string, member *zinniaquayv1.Member, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	resp, err := n.Caller.Exchange(ctx, addr, req)
	if err != nil {
		n.count.exchangeFailed.Inc(1)
		n.Members.SetReachable(member.GetName(), false, time.Now())
		return nil, err
	}
	n.learn(resp.GetMembers(), resp.GetVerdicts())
	n.peerAnswered(member)
	n.hear(resp.GetHeardNumber())
	n.note(resp.GetConfigurationNumber(), addr)
	return resp, nil
}

// learn takes in members and verdicts and passes news on.
func (n *Node) learn(members []*zinniaquayv1.Member, verdicts []*zinniaquayv1.Verdict) {
	n.spread(n.Members.Merge(members))
	if len(verdicts) > 0 {
		n.Verdicts.MergeVerdicts(verdicts)
	}
}

// spread has news of members pushed to peers.
func (n *Node) spread(news []*zinniaquayv1.Member) {
	if len(news) == 0 {
		return
	}
	n.mu.Lock()
	for _, m := range news {
		n.pending[m.GetName()] = m
	}
	n.mu.Unlock()
	select {
	case n.news <- struct{}{}:
	default: // The push duty has not yet seen the last signal.
	}
}

func (n *Node) peerAnswered(member *zinniaquayv1.Member) {
	now := time.Now()
	n.Members.SetReachable(member.GetName(), true, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerSpoke = now
}
