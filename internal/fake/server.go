// Package fake holds small stand-ins of the systems at tamarackbay's outside
// interfaces. Each keeps records of what really happened, which checks read
// instead of the product's own counters.
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

// server is an HTTP server that can be cut off and started again on its address.
type server struct {
	handler http.Handler
	mu      sync.Mutex
	address string
	http    *http.Server
}

// start listens on address, an IP number with a port; port 0 takes a free one.
func (se *server) start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	hs := &http.Server{Handler: se.handler, ReadHeaderTimeout: 5 * time.Second}
	se.mu.Lock()
	se.address, se.http = ln.Addr().String(), hs
	se.mu.Unlock()
	go func() {
		if err := hs.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(err) // a stand-in that cannot serve makes every check void
		}
	}()

	return nil
}

// Address returns where the stand-in listens.
func (se *server) Address() string {
	se.mu.Lock()
	defer se.mu.Unlock()

	return se.address
}

// kill ends all connections at once.
func (se *server) kill() {
	se.mu.Lock()
	hs := se.http
	se.mu.Unlock()
	if hs != nil {
		_ = hs.Close()
	}
}

// Close stops the stand-in.
func (se *server) Close() {
	se.mu.Lock()
	hs := se.http
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

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<24)).Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})

		return false
	}

	return true
}
