// Package fake holds small in-memory stand-ins for the platform: the key-value
// store, the instance list and the workers. They are used in development and
// tests. Each is an [http.Handler], records the calls that it receives, and
// injects faults.
//
// # Usage
//
// In a test:
//
//	s := fake.NewStore()
//	srv := httptest.NewServer(s)
//	s.SetFaults(fake.StoreFaults{LoseNext: 1})
//
// As a process, with the faults set over HTTP:
//
//	mangoslip platform -store-addr 127.0.0.1:7001 -list-addr 127.0.0.1:7002
//	curl -X PUT -d '{"Outage":true}' http://127.0.0.1:7001/fake/faults
//	curl http://127.0.0.1:7001/fake/records
//
// Durations in the JSON bodies are in nanoseconds. Records are kept until the
// process exits.
package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

// Clock returns the current time. Tests inject their own.
type Clock func() time.Time

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than the clients' 20 s, so that the client
	// closes idle connections first.
	idleTimeout = 2 * time.Minute
	// maxBody limits request bodies, in bytes.
	maxBody = 16 << 20
)

// Run runs the functions concurrently until ctx ends or one of them returns,
// and returns the first error. It derives its own context instead of calling
// tomb.WithContext, which reads the state of the tomb without its lock: the
// race detector reports that when the parent context ends at the same moment.
func Run(ctx context.Context, funcs ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var t tomb.Tomb
	// The outer goroutine keeps the tomb alive until every function has been
	// started.
	t.Go(func() error {
		for _, fn := range funcs {
			t.Go(func() error {
				defer cancel()
				return fn(ctx)
			})
		}
		return nil
	})
	return t.Wait()
}

// serve runs srv on ln until ctx ends, and then closes it without a graceful
// shutdown.
func serve(ctx context.Context, ln net.Listener, srv *http.Server) error {
	srv.ReadHeaderTimeout = headerTimeout
	srv.IdleTimeout = idleTimeout
	return Run(ctx, func(context.Context) error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(ctx context.Context) error {
		<-ctx.Done()
		return srv.Close()
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a JSON body into v. If that fails, it responds with status
// 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// sleepContext waits for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
