package peer

import (
	"context"
	"time"

	zinniaquayv1 "github.com/zinniaquay/zinniaquay/gen/zinniaquay/v1"
)

// ExchangeTimeout is the timeout of one exchange.
const ExchangeTimeout = 500 * time.Millisecond

// Exchange handles a peer's request: it merges the peer's state and responds with
// the state of this process.
func (n *Node) Exchange(_ context.Context, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	from := req.GetFrom()
	members := req.GetMembers()
	if from != nil {
		members = append(append([]*zinniaquayv1.Member(nil), members...), from)
	}
	n.mergeReceived(members, req.GetVerdicts())
	n.recordContact(from)
	n.queueHint(req.GetConfigurationNumber(), from.GetAddr())
	resp := &zinniaquayv1.ExchangeResponse{
		ConfigurationNumber: n.Store.Number(),
		MembersDigest:       n.Members.Digest(),
		Verdicts:            n.Verdicts.Verdicts(),
		HeardNumber:         n.highestKnownNumber(),
	}
	if req.GetWantMembers() {
		resp.Members = n.Members.All()
	}
	return resp, nil
}

// FetchConfiguration handles a peer's request for a newer configuration.
func (n *Node) FetchConfiguration(_ context.Context, req *zinniaquayv1.FetchConfigurationRequest) (*zinniaquayv1.FetchConfigurationResponse, error) {
	return n.Store.Fetch(req)
}

// newRequest returns an exchange request with the state of this process.
func (n *Node) newRequest() *zinniaquayv1.ExchangeRequest {
	return &zinniaquayv1.ExchangeRequest{
		ConfigurationNumber: n.Store.Number(),
		MembersDigest:       n.Members.Digest(),
		Verdicts:            n.Verdicts.Verdicts(),
		From:                n.Members.Self(),
	}
}

// exchange calls a peer and merges its response. The member is nil if only the
// address is known.
func (n *Node) exchange(ctx context.Context, addr string, member *zinniaquayv1.Member, req *zinniaquayv1.ExchangeRequest) (*zinniaquayv1.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	resp, err := n.Caller.Exchange(ctx, addr, req)
	if err != nil {
		n.count.exchangeFailed.Inc(1)
		n.Members.SetReachable(member.GetName(), false, time.Now())
		return nil, err
	}
	n.mergeReceived(resp.GetMembers(), resp.GetVerdicts())
	n.recordContact(member)
	n.observeNumber(resp.GetHeardNumber())
	n.queueHint(resp.GetConfigurationNumber(), addr)
	return resp, nil
}

// mergeReceived merges members and verdicts received from a peer, and queues
// changed members for pushing.
func (n *Node) mergeReceived(members []*zinniaquayv1.Member, verdicts []*zinniaquayv1.Verdict) {
	n.queueMembers(n.Members.Merge(members))
	if len(verdicts) > 0 {
		n.Verdicts.MergeVerdicts(verdicts)
	}
}

// queueMembers queues changed members for pushing to peers.
func (n *Node) queueMembers(changed []*zinniaquayv1.Member) {
	if len(changed) == 0 {
		return
	}
	n.mu.Lock()
	for _, m := range changed {
		n.pending[m.GetName()] = m
	}
	n.mu.Unlock()
	select {
	case n.membersChanged <- struct{}{}:
	default: // pushLoop has not yet received the last signal.
	}
}

func (n *Node) recordContact(member *zinniaquayv1.Member) {
	now := time.Now()
	n.Members.SetReachable(member.GetName(), true, now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPeerContact = now
}
