package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/peer/peerpb"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// maxMessage is the maximum size in bytes of a message between entries: a
// request with its header, or a stored configuration.
const maxMessage = 2*call.MaxBody + call.MaxHeaderBytes

// Handler returns the path and the handler of the peer service. Calls without
// the token are rejected; an empty token allows all calls.
func Handler(b Backend, token string) (string, http.Handler) {
	path, h := peerpb.NewEntryHandler(&server{b}, connect.WithReadMaxBytes(maxMessage),
		connect.WithConditionalHandlerOptions(forwardUncompressed))
	want := []byte("Bearer " + token)
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "peer token missing or wrong", http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// forwardUncompressed turns compression off for forwarded requests. Compression
// took over a third of the processor time of a forward, and the network between
// entries is not a bottleneck for responses. Heartbeats stay compressed.
func forwardUncompressed(s connect.Spec) []connect.HandlerOption {
	if s.Procedure != peerpb.EntryForwardProcedure {
		return nil
	}
	return []connect.HandlerOption{connect.WithCompression("gzip", nil, nil)}
}

// addressHeader is the request header of a heartbeat with the peer address of the
// sender.
const addressHeader = "Mangoslip-Peer-Address"

type server struct{ backend Backend }

var _ peerpb.EntryHandler = (*server)(nil)

// Heartbeat implements peerpb.EntryHandler.
func (s *server) Heartbeat(ctx context.Context, r *connect.Request[peerpb.HeartbeatRequest]) (*connect.Response[peerpb.HeartbeatResponse], error) {
	v := viewFromRequest(r.Msg)
	if a := r.Header().Get(addressHeader); a != "" {
		var err error
		if v.Address, err = netip.ParseAddrPort(a); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	return connect.NewResponse(viewToResponse(s.backend.Heartbeat(ctx, v))), nil
}

// Forward implements peerpb.EntryHandler.
func (s *server) Forward(ctx context.Context, r *connect.Request[peerpb.ForwardRequest], stream *connect.ServerStream[peerpb.ForwardResponse]) error {
	sink := &streamSink{stream}
	res := s.backend.ServeForwarded(ctx, callFromPB(r.Msg, time.Now()), sink)
	return stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_End{End: &peerpb.ForwardEnd{
		Outcome: res.Outcome.String(), Reason: string(res.Reason),
	}}})
}

// BeginKey implements peerpb.EntryHandler.
func (s *server) BeginKey(ctx context.Context, r *connect.Request[peerpb.BeginKeyRequest]) (*connect.Response[peerpb.BeginKeyResponse], error) {
	shard, err := parseShard(r.Msg.Shard)
	if err != nil {
		return nil, err
	}
	v := s.backend.BeginKey(ctx, KeyCall{
		Shard: shard, Key: r.Msg.Key, RequestID: r.Msg.RequestId, Fingerprint: r.Msg.Fingerprint,
		Timeout: time.Duration(r.Msg.TimeoutNanos), From: sched.EntryName(r.Msg.From),
	})
	return connect.NewResponse(&peerpb.BeginKeyResponse{
		Verdict: string(v.Verdict), Reason: string(v.Reason), Answer: answerToPB(v.Answer),
	}), nil
}

// FinishKey implements peerpb.EntryHandler.
func (s *server) FinishKey(ctx context.Context, r *connect.Request[peerpb.FinishKeyRequest]) (*connect.Response[peerpb.FinishKeyResponse], error) {
	shard, err := parseShard(r.Msg.Shard)
	if err != nil {
		return nil, err
	}
	reason := s.backend.FinishKey(ctx, KeyOutcome{
		Shard: shard, Key: r.Msg.Key, RequestID: r.Msg.RequestId,
		Outcome: sched.ParseOutcome(r.Msg.Outcome), Answer: answerFromPB(r.Msg.Answer),
	})
	return connect.NewResponse(&peerpb.FinishKeyResponse{Reason: string(reason)}), nil
}

// GetConfig implements peerpb.EntryHandler.
func (s *server) GetConfig(context.Context, *connect.Request[peerpb.GetConfigRequest]) (*connect.Response[peerpb.GetConfigResponse], error) {
	rev, value := s.backend.StoredConfig()
	return connect.NewResponse(&peerpb.GetConfigResponse{Revision: uint64(rev), Value: value}), nil
}

// SubmitJob implements peerpb.EntryHandler.
func (s *server) SubmitJob(ctx context.Context, r *connect.Request[peerpb.SubmitJobRequest]) (*connect.Response[peerpb.SubmitJobResponse], error) {
	shard, err := parseShard(r.Msg.Shard)
	if err != nil {
		return nil, err
	}
	status, reason := s.backend.SubmitJobAt(ctx, shard, r.Msg.Job)
	return connect.NewResponse(&peerpb.SubmitJobResponse{Status: status, Reason: string(reason)}), nil
}

// CancelJob implements peerpb.EntryHandler.
func (s *server) CancelJob(ctx context.Context, r *connect.Request[peerpb.CancelJobRequest]) (*connect.Response[peerpb.CancelJobResponse], error) {
	shard, err := parseShard(r.Msg.Shard)
	if err != nil {
		return nil, err
	}
	status, reason := s.backend.CancelJobAt(ctx, shard, sched.JobID(r.Msg.Job))
	return connect.NewResponse(&peerpb.CancelJobResponse{Status: status, Reason: string(reason)}), nil
}

// ListJobs implements peerpb.EntryHandler.
func (s *server) ListJobs(ctx context.Context, r *connect.Request[peerpb.ListJobsRequest]) (*connect.Response[peerpb.ListJobsResponse], error) {
	return connect.NewResponse(&peerpb.ListJobsResponse{
		Statuses: s.backend.LocalJobs(ctx, sched.JobID(r.Msg.Job)),
	}), nil
}

// TaskEvents implements peerpb.EntryHandler.
func (s *server) TaskEvents(ctx context.Context, r *connect.Request[peerpb.TaskEventsRequest]) (*connect.Response[peerpb.TaskEventsResponse], error) {
	from, err := parseShard(r.Msg.FromShard)
	if err != nil {
		return nil, err
	}
	to, err := parseShard(r.Msg.ToShard)
	if err != nil {
		return nil, err
	}
	reason := s.backend.TaskEvents(ctx, from, to, r.Msg.Events)
	return connect.NewResponse(&peerpb.TaskEventsResponse{Reason: string(reason)}), nil
}

func parseShard(s string) (sched.ShardID, error) {
	id, err := sched.ParseShardID(s)
	if err != nil {
		return id, connect.NewError(connect.CodeInvalidArgument, eris.New(strings.ToLower(err.Error())))
	}
	return id, nil
}

// streamSink streams a response to the peer that forwarded the request.
type streamSink struct {
	stream *connect.ServerStream[peerpb.ForwardResponse]
}

// Head implements call.Sink.
func (s *streamSink) Head(status int, h http.Header) error {
	return s.stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Head{Head: &peerpb.ForwardHead{
		Status: int32(status), Headers: headersToPB(h),
	}}})
}

// Write implements call.Sink.
func (s *streamSink) Write(b []byte) error {
	return s.stream.Send(&peerpb.ForwardResponse{Part: &peerpb.ForwardResponse_Chunk{Chunk: b}})
}
