package front

import (
	"encoding/json"
	"net/http"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// retryAfterSeconds is the value of the Retry-After field in a refusal that a retry
// may resolve.
const retryAfterSeconds = "1"

// refuse counts a refusal and writes it as the response.
func (h *handler) refuse(w http.ResponseWriter, id string, reason sched.Reason) {
	h.refuseDetail(w, id, reason, "")
}

// refuseDetail is like refuse and adds a detail text for the caller.
func (h *handler) refuseDetail(w http.ResponseWriter, id string, reason sched.Reason, detail string) {
	h.count(reason)
	h.problem(w, id, reason, detail)
}

// problem writes a response with a problem body that gives the reason.
func (h *handler) problem(w http.ResponseWriter, id string, reason sched.Reason, detail string) {
	hdr := w.Header()
	hdr.Set("Content-Type", "application/problem+json")
	hdr.Set(call.HeaderOutcome, reason.Outcome().String())
	hdr.Set(call.HeaderRequestID, id)
	if reason.Retryable() {
		hdr.Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(reason.Status())
	body := struct {
		Type      string `json:"type"`
		Title     string `json:"title"`
		Status    int    `json:"status"`
		Detail    string `json:"detail,omitempty"`
		Reason    string
		Outcome   string
		RequestID string
	}{
		Type:      "about:blank",
		Title:     http.StatusText(reason.Status()),
		Status:    reason.Status(),
		Detail:    detail,
		Reason:    string(reason),
		Outcome:   reason.Outcome().String(),
		RequestID: id,
	}
	// An error means that the caller has disconnected, so it is not reported.
	_ = json.NewEncoder(w).Encode(body)
}
