package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/peer/peerpb"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Timeouts of the connections between entries.
const (
	dialTimeout = time.Second
	idleTimeout = 60 * time.Second
	// maxIdlePerPeer keeps enough connections open to forward requests at peak
	// load without a new handshake for each request.
	maxIdlePerPeer = 128
)

// Client calls one peer. Get one with [Pool.Dial]. The [sched.Reason] that some
// calls return is empty if the peer accepted the call, otherwise it is the reason
// for which the peer refused it.
type Client struct {
	addr netip.AddrPort
	rpc  peerpb.EntryClient
}

// Pool keeps a client for each peer address.
type Pool struct {
	token   string
	http    *http.Client
	mu      sync.Mutex
	clients map[netip.AddrPort]*Client
}

// errNotConnected marks a call that failed because the connection could not be
// established.
var errNotConnected = errors.New("connection not established")

// NewPool returns a pool whose clients authenticate with the bearer token.
func NewPool(token string) *Pool {
	d := &net.Dialer{Timeout: dialTimeout}
	tr := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, errors.Join(errNotConnected, err)
			}
			return c, nil
		},
		MaxIdleConnsPerHost: maxIdlePerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Pool{token: token, http: &http.Client{Transport: tr}, clients: map[netip.AddrPort]*Client{}}
}

// Dial returns the client for an address. It does not open a connection.
func (p *Pool) Dial(addr netip.AddrPort) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[addr]
	if !ok {
		c = &Client{addr: addr, rpc: peerpb.NewEntryClient(p.http, "http://"+addr.String(),
			connect.WithInterceptors(bearer(p.token)), connect.WithReadMaxBytes(maxMessage))}
		p.clients[addr] = c
	}
	return c
}

// Close closes idle connections.
func (p *Pool) Close() { p.http.CloseIdleConnections() }

// Heartbeat sends the view of this entry and returns that of the peer.
func (c *Client) Heartbeat(ctx context.Context, v View) (View, error) {
	req := connect.NewRequest(viewToRequest(v))
	if v.Address.IsValid() {
		req.Header().Set(addressHeader, v.Address.String())
	}
	r, err := c.rpc.Heartbeat(ctx, req)
	if err != nil {
		return View{}, c.wrap("heartbeat", err)
	}
	return viewFromResponse(r.Msg), nil
}

// Forward runs a request at the peer and copies the response to the sink.
func (c *Client) Forward(ctx context.Context, cl call.Call, sink call.Sink) call.Result {
	stream, err := c.rpc.Forward(ctx, connect.NewRequest(callToPB(cl, time.Now())))
	if err != nil {
		return call.Refused(forwardErrorReason(err))
	}
	defer func() { _ = stream.Close() }()
	started := false
	for stream.Receive() {
		switch p := stream.Msg().Part.(type) {
		case *peerpb.ForwardResponse_Head:
			started = true
			err = sink.Head(int(p.Head.Status), headersFromPB(p.Head.Headers))
		case *peerpb.ForwardResponse_Chunk:
			err = sink.Write(p.Chunk)
		case *peerpb.ForwardResponse_End:
			// A connection is reused only if its response was read to the end.
			// Anything after the outcome cannot change it.
			stream.Receive()
			return call.Result{
				Outcome: sched.ParseOutcome(p.End.Outcome),
				Reason:  sched.Reason(p.End.Reason), Started: started,
			}
		}
		if err != nil {
			// The receiver of the response has disconnected.
			return call.Result{Outcome: sched.Unknown, Reason: sched.ReasonPeerBroken, Started: started}
		}
	}
	res := call.Refused(forwardErrorReason(stream.Err()))
	res.Started = started
	if started {
		res.Outcome = sched.Unknown
	}
	return res
}

// forwardErrorReason maps the error of a forward to a reason. Only if the
// connection was never established is it certain that the request was not sent.
func forwardErrorReason(err error) sched.Reason {
	if errors.Is(err, errNotConnected) {
		return sched.ReasonNoOwner
	}
	return sched.ReasonPeerBroken
}

// BeginKey asks the owner of the key's shard whether a request may run. After an
// error it is unknown whether the owner stored the intent to run it, and the
// request must not run.
func (c *Client) BeginKey(ctx context.Context, k KeyCall) (KeyVerdict, error) {
	r, err := c.rpc.BeginKey(ctx, connect.NewRequest(&peerpb.BeginKeyRequest{
		Shard: k.Shard.String(), Key: k.Key, RequestId: k.RequestID, Fingerprint: k.Fingerprint,
		TimeoutNanos: int64(k.Timeout), From: string(k.From),
	}))
	if err != nil {
		return KeyVerdict{}, c.wrap("begin key", err)
	}
	return KeyVerdict{
		Verdict: Verdict(r.Msg.Verdict), Reason: sched.Reason(r.Msg.Reason), Answer: answerFromPB(r.Msg.Answer),
	}, nil
}

// FinishKey reports the outcome of a request with an idempotency key.
func (c *Client) FinishKey(ctx context.Context, k KeyOutcome) (sched.Reason, error) {
	r, err := c.rpc.FinishKey(ctx, connect.NewRequest(&peerpb.FinishKeyRequest{
		Shard: k.Shard.String(), Key: k.Key, RequestId: k.RequestID,
		Outcome: k.Outcome.String(), Answer: answerToPB(k.Answer),
	}))
	if err != nil {
		return "", c.wrap("finish key", err)
	}
	return sched.Reason(r.Msg.Reason), nil
}

// StoredConfig returns the configuration in force at the peer as stored, with
// its revision.
func (c *Client) StoredConfig(ctx context.Context) (sched.Revision, []byte, error) {
	r, err := c.rpc.GetConfig(ctx, connect.NewRequest(&peerpb.GetConfigRequest{}))
	if err != nil {
		return 0, nil, c.wrap("get configuration", err)
	}
	return sched.Revision(r.Msg.Revision), r.Msg.Value, nil
}

// SubmitJob durably records an encoded job in a home shard that the peer owns
// and returns the encoded status of the job.
func (c *Client) SubmitJob(ctx context.Context, shard sched.ShardID, job []byte) ([]byte, sched.Reason, error) {
	r, err := c.rpc.SubmitJob(ctx, connect.NewRequest(&peerpb.SubmitJobRequest{Shard: shard.String(), Job: job}))
	if err != nil {
		return nil, "", c.wrap("submit job", err)
	}
	return r.Msg.Status, sched.Reason(r.Msg.Reason), nil
}

// CancelJob cancels a job whose home shard the peer owns and returns its encoded
// status.
func (c *Client) CancelJob(ctx context.Context, shard sched.ShardID, id sched.JobID) ([]byte, sched.Reason, error) {
	r, err := c.rpc.CancelJob(ctx, connect.NewRequest(&peerpb.CancelJobRequest{Shard: shard.String(), Job: string(id)}))
	if err != nil {
		return nil, "", c.wrap("cancel job", err)
	}
	return r.Msg.Status, sched.Reason(r.Msg.Reason), nil
}

// ListJobs returns the encoded statuses of the jobs in the home shards that the
// peer owns: of the job with the ID or, if the ID is empty, of all jobs up to a
// limit for each shard.
func (c *Client) ListJobs(ctx context.Context, id sched.JobID) ([][]byte, error) {
	r, err := c.rpc.ListJobs(ctx, connect.NewRequest(&peerpb.ListJobsRequest{Job: string(id)}))
	if err != nil {
		return nil, c.wrap("list jobs", err)
	}
	return r.Msg.Statuses, nil
}

// TaskEvents delivers encoded events of one shard to another that the peer owns.
func (c *Client) TaskEvents(ctx context.Context, from, to sched.ShardID, events [][]byte) (sched.Reason, error) {
	r, err := c.rpc.TaskEvents(ctx, connect.NewRequest(&peerpb.TaskEventsRequest{
		FromShard: from.String(), ToShard: to.String(), Events: events,
	}))
	if err != nil {
		return "", c.wrap("deliver task events", err)
	}
	return sched.Reason(r.Msg.Reason), nil
}

// wrap adds the step and the address to an error. If the connection could not be
// established, the error is also [sched.ErrUnavailable].
func (c *Client) wrap(step string, err error) error {
	if errors.Is(err, errNotConnected) {
		err = errors.Join(sched.ErrUnavailable, err)
	}
	return sched.Wrap(err, step, c.addr.String())
}

// bearer returns an interceptor that adds the token to each call.
func bearer(token string) connect.Interceptor { return &bearerInterceptor{"Bearer " + token} }

type bearerInterceptor struct{ value string }

// WrapUnary implements connect.Interceptor.
func (b *bearerInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if r.Spec().IsClient {
			r.Header().Set("Authorization", b.value)
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b *bearerInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", b.value)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b *bearerInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
