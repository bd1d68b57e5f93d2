package fake

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceRun records one request to a plain service.
type ServiceRun struct {
	ID     string
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   string
	At     time.Time
	Ended  bool
}

// Service is a stand-in for a plain service. It echoes the request in its response.
type Service struct {
	server
	delay time.Duration

	mu   sync.Mutex
	runs []*ServiceRun
}

// Headers of a request that change how a Service responds to it.
const (
	HeaderWrongID = "X-Fake-Cross" // the response carries the ID of another request
	HeaderShort   = "X-Fake-Short" // the body is shorter than its Content-Length
	HeaderDrop    = "X-Fake-Drop"  // the connection closes without a response
	HeaderDelay   = "X-Fake-Delay" // time until the response, in the syntax of time.ParseDuration
)

// NewService starts a service on address. It responds after delay.
func NewService(address string, delay time.Duration) (*Service, error) {
	se := &Service{delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", se.echo)
	se.handler = mux

	return se, se.start(address)
}

func (se *Service) echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := &ServiceRun{
		ID: r.Header.Get("X-Request-Id"), Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: r.Header.Clone(), Body: string(body), At: time.Now(),
	}
	se.mu.Lock()
	se.runs = append(se.runs, run)
	se.mu.Unlock()

	d := se.delay
	if v, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		d = v
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return
	}
	if r.Header.Get(HeaderDrop) != "" {
		panic(http.ErrAbortHandler)
	}

	id := run.ID
	if r.Header.Get(HeaderWrongID) != "" {
		id = "of-another-request"
	}
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get(HeaderShort) != "" {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("short"))

		return
	}
	writeJSON(w, http.StatusOK, map[string]string{
		"method": r.Method, "path": run.Path, "query": run.Query, "body": string(body), "id": run.ID,
	})
	se.mu.Lock()
	run.Ended = true
	se.mu.Unlock()
}

// Crash closes the listener and all connections, and restarts the service after d. It
// returns after the restart.
func (se *Service) Crash(d time.Duration) {
	se.kill()
	time.Sleep(d)
	_ = se.start(se.Address()) // if another process took the address, the service stays down
}

// Runs returns the records of all requests in the order of their arrival.
func (se *Service) Runs() []ServiceRun {
	se.mu.Lock()
	defer se.mu.Unlock()

	out := make([]ServiceRun, 0, len(se.runs))
	for _, r := range se.runs {
		out = append(out, *r)
	}

	return out
}
