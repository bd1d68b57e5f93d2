// Package fake provides small stand-ins for the external systems that tamarackbay
// connects to. They keep their own records of what happened, so that checks don't rely
// on the product's counters.
package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const shutdownTimeout = 200 * time.Millisecond

// server is an HTTP server that can be stopped abruptly and restarted on the same address.
type server struct {
	handler    http.Handler
	mu         sync.Mutex
	address    string
	httpServer *http.Server
}

// start listens on address, an IP number with a port. Port 0 selects a free port.
func (se *server) start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	hs := &http.Server{Handler: se.handler, ReadHeaderTimeout: 5 * time.Second}
	se.mu.Lock()
	se.address, se.httpServer = ln.Addr().String(), hs
	se.mu.Unlock()
	go func() {
		if err := hs.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(err) // checks against a stand-in that does not serve are meaningless
		}
	}()

	return nil
}

// Address returns the address that the stand-in listens on.
func (se *server) Address() string {
	se.mu.Lock()
	defer se.mu.Unlock()

	return se.address
}

// kill closes the listener and all connections at once, without a graceful shutdown.
func (se *server) kill() {
	se.mu.Lock()
	hs := se.httpServer
	se.mu.Unlock()
	if hs != nil {
		_ = hs.Close()
	}
}

// Close stops the stand-in. Running requests have until shutdownTimeout to end.
func (se *server) Close() {
	se.mu.Lock()
	hs := se.httpServer
	se.mu.Unlock()
	if hs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = hs.Shutdown(ctx)
	_ = hs.Close()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body of r into v, or responds with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<24)).Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})

		return false
	}

	return true
}
