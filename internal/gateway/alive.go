package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zinniaquay/zinniaquay/internal/dispatch"
	"github.com/zinniaquay/zinniaquay/internal/telemetry"
	"github.com/zinniaquay/zinniaquay/internal/upstream"
)

const (
	// aliveTimeout limits the time to find out whether a target is alive. A target
	// responds to a request for its report without a slot, within milliseconds.
	aliveTimeout = 500 * time.Millisecond
	// maxReportBytes bounds a target's report.
	maxReportBytes = 1 << 20
)

// targetProcess identifies one start of a target.
type targetProcess struct {
	id, addr string
	// startedUnixMilli is the start as a Unix time in ms; 0 if unknown.
	startedUnixMilli int64
}

// liveness is what is known of a process after a check.
type liveness struct {
	alive bool
	// evidence says in a few words what the result is based on.
	evidence string
}

// aliveChecks checks whether targets are alive. Callers that want to know the same at
// about the same time share a check, so that one runs and one waits for each target. It
// is safe for concurrent use.
type aliveChecks struct {
	check func(p targetProcess, sentAt time.Time) liveness

	mu               sync.Mutex
	waiting, running map[targetProcess]*aliveCheck
}

// aliveCheck is a check with the callers that wait for it.
type aliveCheck struct {
	// sentAt is the earliest of the times at which the callers' requests were sent.
	sentAt time.Time
	// done is closed once result is set.
	done   chan struct{}
	result liveness
}

func newAliveChecks(check func(targetProcess, time.Time) liveness) *aliveChecks {
	return &aliveChecks{check: check, waiting: make(map[targetProcess]*aliveCheck), running: make(map[targetProcess]*aliveCheck)}
}

// isAlive checks whether a process that got a request at sentAt is alive. The check
// begins after the call.
func (a *aliveChecks) isAlive(p targetProcess, sentAt time.Time) liveness {
	a.mu.Lock()
	c := a.waiting[p]
	if c != nil {
		if sentAt.Before(c.sentAt) {
			c.sentAt = sentAt
		}
		a.mu.Unlock()
		<-c.done
		return c.result
	}
	c = &aliveCheck{sentAt: sentAt, done: make(chan struct{})}
	a.waiting[p] = c
	for a.running[p] != nil {
		before := a.running[p].done
		a.mu.Unlock()
		<-before
		a.mu.Lock()
	}
	delete(a.waiting, p)
	a.running[p] = c
	sentAt = c.sentAt
	a.mu.Unlock()
	c.result = a.check(p, sentAt)
	a.mu.Lock()
	delete(a.running, p)
	a.mu.Unlock()
	close(c.done)
	return c.result
}

// checkAlive asks a process for its report. A connection from before the request was
// sent leads to the process that the request was sent to. On a new connection another
// process may respond: only the same start shows that it is the same one.
func (g *Gateway) checkAlive(p targetProcess, sentAt time.Time) liveness {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	if conn := g.pool.IdleOpenedBefore(p.addr, sentAt); conn != nil {
		if _, err := g.readReport(ctx, conn, p); err == nil {
			return liveness{true, "response on an earlier connection"}
		}
	}
	conn, err := g.pool.Open(ctx, p.addr)
	if err != nil {
		return liveness{false, err.Error()}
	}
	report, err := g.readReport(ctx, conn, p)
	switch {
	case err != nil:
		return liveness{false, err.Error()}
	case report.OtherTarget:
		return liveness{false, "another target responds"}
	case report.StartedUnixMilli == 0 || p.startedUnixMilli == 0:
		return liveness{false, "response, start not stated"}
	case report.StartedUnixMilli != p.startedUnixMilli:
		return liveness{false, "the target has started again"}
	}
	return liveness{true, "response with the same start"}
}

// readReport asks for a target's report on a connection, which goes back to the pool or
// is closed. A closed target is not asked.
func (g *Gateway) readReport(ctx context.Context, conn *upstream.Conn, p targetProcess) (TargetReport, error) {
	if g.scheduler.closedFor(p.id) > 0 {
		conn.Discard()
		return TargetReport{}, errTargetClosed
	}
	resp, err := g.requestReport(ctx, conn, p)
	if err != nil {
		conn.Discard()
		return TargetReport{}, err
	}
	report, err := g.codec.DecodeReport(resp.status, resp.body)
	if report.StartedUnixMilli != 0 {
		p.startedUnixMilli = report.StartedUnixMilli
	}
	g.observeLeaving(p, resp.head)
	return report, err
}

// reportResponse is the response to a request for a target's report.
type reportResponse struct {
	status int
	head   ResponseHead
	body   []byte
}

// requestReport sends a request for a target's report and reads the response to its end.
// Without an error the connection goes back to the pool.
func (g *Gateway) requestReport(ctx context.Context, conn *upstream.Conn, p targetProcess) (reportResponse, error) {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return reportResponse{}, fmt.Errorf("set a deadline: %w", err)
	}
	path, header := g.codec.ReportRequest(p.id)
	sentAt := time.Now()
	if _, err := conn.Send(&upstream.Request{Method: http.MethodGet, URI: path, Host: conn.RemoteAddr().String(), Header: header}); err != nil {
		return reportResponse{}, err
	}
	resp, err := conn.ReadResponse(http.MethodGet)
	if err != nil {
		return reportResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }() // the connection is pooled or discarded separately
	head := g.codec.DecodeResponse(resp.StatusCode, resp.Header)
	if id := head.RequestID; id != "" {
		return reportResponse{}, fmt.Errorf("the response belongs to request %s", id)
	}
	g.observeClosing(p, head, sentAt)
	parts, err := conn.ReadBody(resp, maxReportBytes)
	if err != nil {
		return reportResponse{}, fmt.Errorf("read report: %w", err)
	}
	body := bytes.Join(parts, nil)
	g.releaseConn(conn, resp, nil)
	return reportResponse{resp.StatusCode, head, body}, nil
}

// errCutByCrash means that a response ended with its connection, and its target is not
// known to have lived on.
var errCutByCrash = fmt.Errorf("the target may have crashed: %w", io.ErrUnexpectedEOF)

// errNoBody means that a response ended with its connection right after its header, where
// its target may have stopped.
var errNoBody = fmt.Errorf("the response ended after its header: %w", io.ErrUnexpectedEOF)

// endsWithConnection reports whether a response has neither a length nor chunks, so that
// only the end of its connection ends it. A response to HEAD ends with its header.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// confirmEnd returns an error if a response that was read to its end may be incomplete. The
// connection of a target that crashes ends like that of a complete response, so a
// response that ends with its connection is complete only if its target is alive
// afterwards. A success without a body, with hasBody false, is not.
func (g *Gateway) confirmEnd(x *call, d dispatch.Decision, resp *http.Response, hasBody bool) error {
	if !endsWithConnection(resp) {
		return nil
	}
	if !hasBody && resp.StatusCode < http.StatusMultipleChoices {
		return errNoBody
	}
	ended := time.Now()
	if err := g.waitWhileClosed(x, d.Target); err != nil {
		return err
	}
	result := g.aliveChecks.isAlive(targetProcess{d.Target, d.Addr, x.targetStarted}, x.sentAt)
	g.log.Info("response ended with its connection", telemetry.KeyRequest, x.attempt.ID, "target", d.Target,
		"complete", result.alive, "evidence", result.evidence, "check_ms", time.Since(ended).Milliseconds())
	if !result.alive {
		return errCutByCrash
	}
	return nil
}
