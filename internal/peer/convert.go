package peer

import (
	"net/http"
	"time"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/internal/peer/peerpb"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

func headersToPB(h map[string][]string) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for k, v := range h {
		out = append(out, &peerpb.Header{Name: k, Values: v})
	}
	return out
}

func headersFromPB(hs []*peerpb.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out[h.Name] = h.Values
	}
	return out
}

func answerToPB(a Answer) *peerpb.Answer {
	return &peerpb.Answer{Status: int32(a.Status), Headers: headersToPB(a.Header), Body: a.Body}
}

func answerFromPB(a *peerpb.Answer) Answer {
	if a == nil {
		return Answer{}
	}
	return Answer{Status: int(a.Status), Header: headersFromPB(a.Headers), Body: a.Body}
}

func callToPB(c call.Call, now time.Time) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		RequestId: c.RequestID, Service: string(c.Service), Team: string(c.Team),
		Method: c.Method, Path: c.Path, Headers: headersToPB(c.Header), Body: c.Body,
		TimeoutNanos: int64(c.Deadline.Sub(now)),
	}
}

func callFromPB(r *peerpb.ForwardRequest, now time.Time) call.Call {
	return call.Call{
		RequestID: r.RequestId, Service: sched.ServiceName(r.Service), Team: sched.TeamName(r.Team),
		Method: r.Method, Path: r.Path, Header: headersFromPB(r.Headers), Body: r.Body,
		Deadline: now.Add(time.Duration(r.TimeoutNanos)),
	}
}

func slotsToPB(m map[sched.ServiceName]int) []*peerpb.SlotHint {
	out := make([]*peerpb.SlotHint, 0, len(m))
	for s, n := range m {
		out = append(out, &peerpb.SlotHint{Service: string(s), Free: int32(n)})
	}
	return out
}

func slotsFromPB(hs []*peerpb.SlotHint) map[sched.ServiceName]int {
	out := make(map[sched.ServiceName]int, len(hs))
	for _, h := range hs {
		out[sched.ServiceName(h.Service)] = int(h.Free)
	}
	return out
}

func viewFromRequest(r *peerpb.HeartbeatRequest) View {
	return View{
		From: sched.EntryName(r.From), Revision: sched.Revision(r.Revision), Slots: slotsFromPB(r.Slots),
		TableAge: time.Duration(r.TableAgeNanos), ListAge: time.Duration(r.ListAgeNanos),
		Stopping: r.Stopping,
	}
}

func viewToRequest(v View) *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		From: string(v.From), Revision: uint64(v.Revision), Slots: slotsToPB(v.Slots),
		TableAgeNanos: int64(v.TableAge), ListAgeNanos: int64(v.ListAge),
		Stopping: v.Stopping,
	}
}

func viewToResponse(v View) *peerpb.HeartbeatResponse {
	return &peerpb.HeartbeatResponse{
		From: string(v.From), Revision: uint64(v.Revision), Slots: slotsToPB(v.Slots),
		TableAgeNanos: int64(v.TableAge), ListAgeNanos: int64(v.ListAge),
		Stopping: v.Stopping,
		Table:    v.Table, TableVersion: uint64(v.TableVersion), ListedGeneration: v.ListedGeneration,
	}
}

func viewFromResponse(r *peerpb.HeartbeatResponse) View {
	return View{
		From: sched.EntryName(r.From), Revision: sched.Revision(r.Revision), Slots: slotsFromPB(r.Slots),
		Table: r.Table, TableVersion: sched.Version(r.TableVersion), TableAge: time.Duration(r.TableAgeNanos),
		ListedGeneration: r.ListedGeneration, ListAge: time.Duration(r.ListAgeNanos),
		Stopping: r.Stopping,
	}
}
