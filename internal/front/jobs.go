package front

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"

	"goji.io/pat"

	"github.com/mangoslip/mangoslip/internal/call"
	"github.com/mangoslip/mangoslip/pkg/client"
	"github.com/mangoslip/mangoslip/pkg/sched"
)

// jobIDBytes is the length of the hash of a job's team and idempotency key that is
// used as the job's id. With 16 bytes, collisions within the retention period are
// negligible.
const jobIDBytes = 16

// submitJob answers 201 only after the job is durable. A repeated submission with
// the same idempotency key returns the same job.
func (h *handler) submitJob(w http.ResponseWriter, r *http.Request) {
	reqID := r.Header.Get(call.HeaderRequestID)
	body, reason := readBody(w, r)
	if reason != "" {
		h.refuse(w, reqID, reason)
		return
	}
	var job client.Job
	if err := json.Unmarshal(body, &job); err != nil {
		h.refuseDetail(w, reqID, sched.ReasonBadRequest, err.Error())
		return
	}
	spec, err := job.Spec(jobID(string(job.Team), r.Header.Get(call.HeaderKey)))
	if err != nil {
		h.refuseDetail(w, reqID, sched.ReasonBadRequest, err.Error())
		return
	}
	status, reason := h.backend.SubmitJob(r.Context(), spec)
	if reason != "" {
		h.refuseDetail(w, reqID, reason, "job "+string(spec.ID))
		return
	}
	w.Header().Set("Location", "/v1/jobs/"+string(status.ID))
	h.sendJSON(w, http.StatusCreated, status)
}

// jobID derives the id of a job from its team and idempotency key, or returns a
// random id if there is no key.
func jobID(team, key string) sched.JobID {
	if key == "" {
		return sched.JobID(rand.Text())
	}
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return sched.JobID(hex.EncodeToString(sum[:jobIDBytes]))
}

func (h *handler) getJob(w http.ResponseWriter, r *http.Request) {
	status, ok, reason := h.backend.Job(r.Context(), sched.JobID(pat.Param(r, "id")))
	switch {
	case ok:
		h.sendJSON(w, http.StatusOK, status)
	case reason != "":
		// An entry that may know the job did not answer.
		h.refuse(w, r.Header.Get(call.HeaderRequestID), reason)
	default:
		h.refuse(w, r.Header.Get(call.HeaderRequestID), sched.ReasonUnknownJob)
	}
}

func (h *handler) listJobs(w http.ResponseWriter, r *http.Request) {
	jobs, reason := h.backend.Jobs(r.Context())
	if reason != "" {
		w.Header().Set("Mangoslip-Incomplete", string(reason))
	}
	if jobs == nil {
		jobs = []sched.JobStatus{}
	}
	h.sendJSON(w, http.StatusOK, jobs)
}

func (h *handler) cancelJob(w http.ResponseWriter, r *http.Request) {
	status, reason := h.backend.CancelJob(r.Context(), sched.JobID(pat.Param(r, "id")))
	if reason != "" {
		h.refuse(w, r.Header.Get(call.HeaderRequestID), reason)
		return
	}
	h.sendJSON(w, http.StatusOK, status)
}

func (h *handler) sendJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected, so it is not reported.
	_ = json.NewEncoder(w).Encode(v)
}
