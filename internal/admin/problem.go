package admin

import (
	"errors"
	"net/http"

	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/pkg/sched/config"
	"github.com/mangoslip/mangoslip/pkg/text"
)

// problem is the body of a response to a refused or failed request
// (application/problem+json).
type problem struct {
	Status int `json:"status"`
	Reason string
	Detail string `json:"detail"`
	// Revision is the current revision after a conflict.
	Revision sched.Revision `json:",omitempty"`
	// Difference is what the refused text would change in the current text.
	Difference *text.Difference `json:",omitempty"`
	// Problems lists what is wrong with a refused text.
	Problems text.Problems `json:",omitempty"`
	// Others are the services that must change state too.
	Others []sched.ServiceName `json:",omitempty"`
}

// refuse sends a problem as the response.
func refuse(w http.ResponseWriter, p problem) {
	send(w, "application/problem+json", p.Status, p)
}

// problemOf converts an error of the backend. After a [config.UnknownError] it is
// unknown whether the edit was made. The other errors of package config mean that
// it was not made.
func problemOf(err error) problem {
	p := problem{Status: http.StatusInternalServerError, Reason: "Failed", Detail: err.Error()}
	var (
		conflict    *config.ConflictError
		invalid     *config.InvalidError
		unavailable *config.UnavailableError
		unknown     *config.UnknownError
		dependency  *text.DependencyError
	)
	switch {
	case errors.As(err, &conflict):
		p.Status, p.Reason, p.Revision = http.StatusPreconditionFailed, "Conflict", conflict.Current
	case errors.As(err, &invalid):
		p.Status, p.Reason = http.StatusUnprocessableEntity, "Invalid"
		errors.As(err, &p.Problems)
	case errors.As(err, &unavailable):
		p.Status, p.Reason = http.StatusServiceUnavailable, string(sched.ReasonStoreUnavailable)
	case errors.As(err, &unknown):
		p.Status, p.Reason = http.StatusGatewayTimeout, "Unknown"
	case errors.As(err, &dependency):
		p.Status, p.Reason, p.Others = http.StatusConflict, "DependentServices", dependency.Others
	case errors.Is(err, text.ErrUnknownService):
		p.Status, p.Reason = http.StatusNotFound, string(sched.ReasonUnknownService)
	}
	return p
}
