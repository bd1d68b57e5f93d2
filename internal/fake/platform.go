package fake

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

// WeightStore is a stand-in for the weight store, which limits concurrent fetches.
type WeightStore struct {
	server
	limit int

	mu      sync.Mutex
	active  int
	peak    int
	refused int
}

// NewWeightStore starts a weight store on address that serves up to limit concurrent fetches.
func NewWeightStore(address string, limit int) (*WeightStore, error) {
	ws := &WeightStore{limit: limit}
	r := chi.NewRouter()
	r.Get("/v1/weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{
			"model": chi.URLParam(r, "model"), "version": chi.URLParam(r, "version"), "bytes": 1 << 30, "maxConcurrent": limit,
		})
	})
	ws.handler = r

	return ws, ws.start(address)
}

// fetch takes a permit and returns a function that releases it, or returns false if the
// limit is reached.
func (ws *WeightStore) fetch(_, _ string) (func(), bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()

	if ws.active >= ws.limit {
		ws.refused++

		return nil, false
	}
	ws.active++
	ws.peak = max(ws.peak, ws.active)

	return func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		ws.active--
	}, true
}

// Refused returns the number of fetches refused because of the limit.
func (ws *WeightStore) Refused() int {
	ws.mu.Lock()
	defer ws.mu.Unlock()

	return ws.refused
}

// Scorer is a stand-in for the service that scores samples.
type Scorer struct {
	server
	mu    sync.Mutex
	count int
}

// NewScorer starts a scorer on address. Its scores are a hash of the text.
func NewScorer(address string) (*Scorer, error) {
	sc := &Scorer{}
	r := chi.NewRouter()
	r.Post("/v1/score", func(w http.ResponseWriter, r *http.Request) {
		var rq struct{ Text string }
		if !readJSON(w, r, &rq) {
			return
		}
		sc.mu.Lock()
		sc.count++
		sc.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]float64{"score": float64(xxhash.Sum64String(rq.Text)%1000) / 1000})
	})
	sc.handler = r

	return sc, sc.start(address)
}

// OrderRecord records one call to the ordering interface.
type OrderRecord struct {
	ID            string    `json:"orderId"`
	Action        string    `json:"action"`
	Class         string    `json:"class"`
	FailureDomain string    `json:"failureDomain"`
	Server        string    `json:"server"`
	Fencing       uint64    `json:"fencing"`
	LeaseHolder   string    `json:"giver"`
	At            time.Time `json:"-"`
	Repeated      bool      `json:"-"`
}

// RunningServer is a backend server that the platform bills, from its start to its stop.
type RunningServer struct {
	Name          string    `json:"server"`
	OrderID       string    `json:"orderId"`
	Class         string    `json:"class"`
	FailureDomain string    `json:"failureDomain"`
	From          time.Time `json:"-"`
	Until         time.Time `json:"-"`
}

// Ordering is a stand-in for the interface that starts and stops backend servers.
type Ordering struct {
	server
	onStart func(server, class, failureDomain, orderID string)
	onStop  func(server string)

	mu             sync.Mutex
	records        []OrderRecord
	serverByOrder  map[string]string
	servers        map[string]*RunningServer
	stoppedServers []RunningServer
	lastNumber     int
	answersToDrop  int
	isDown         bool
}

// NewOrdering starts an ordering interface on address. It executes an order by calling
// start or stop, once for each order ID.
func NewOrdering(address string, start func(server, class, failureDomain, orderID string), stop func(server string)) (*Ordering, error) {
	or := &Ordering{onStart: start, onStop: stop, serverByOrder: map[string]string{}, servers: map[string]*RunningServer{}}
	r := chi.NewRouter()
	r.Post("/v1/orders", or.handleOrder)
	r.Get("/v1/servers", func(w http.ResponseWriter, _ *http.Request) {
		or.mu.Lock()
		defer or.mu.Unlock()
		out := []RunningServer{}
		for _, s := range or.servers {
			out = append(out, *s)
		}
		writeJSON(w, http.StatusOK, map[string]any{"servers": out})
	})
	or.handler = r

	return or, or.server.start(address)
}

func (or *Ordering) handleOrder(w http.ResponseWriter, r *http.Request) {
	var rec OrderRecord
	if !readJSON(w, r, &rec) {
		return
	}

	or.mu.Lock()
	rec.At = time.Now()
	name, seen := or.serverByOrder[rec.ID]
	rec.Repeated = seen
	or.records = append(or.records, rec)
	down := or.isDown
	drop := or.answersToDrop > 0
	if drop {
		or.answersToDrop--
	}
	var act func()
	if !seen && !down {
		name, act = or.executeOrder(&rec)
		or.serverByOrder[rec.ID] = name
	}
	or.mu.Unlock()
	if act != nil {
		go act()
	}
	switch {
	case down:
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "down"})
	case drop:
		panic(http.ErrAbortHandler) // drops the connection, so that the response is lost
	default:
		writeJSON(w, http.StatusOK, map[string]string{"orderId": rec.ID, "state": "accepted", "server": name})
	}
}

// executeOrder updates the billed servers. It returns the name of the server, and the call
// of start or stop that remains to be made without the lock.
func (or *Ordering) executeOrder(rec *OrderRecord) (string, func()) {
	if rec.Action == "start" {
		or.lastNumber++
		name := fmt.Sprintf("%s-%s-%d", rec.Class, rec.FailureDomain, or.lastNumber)
		or.servers[name] = &RunningServer{Name: name, OrderID: rec.ID, Class: rec.Class, FailureDomain: rec.FailureDomain, From: time.Now()}
		c, d, id := rec.Class, rec.FailureDomain, rec.ID

		return name, func() { or.onStart(name, c, d, id) }
	}

	s, ok := or.servers[rec.Server]
	if !ok {
		return rec.Server, nil
	}
	s.Until = time.Now()
	or.stoppedServers = append(or.stoppedServers, *s)
	delete(or.servers, rec.Server)

	return rec.Server, func() { or.onStop(s.Name) }
}

// DropAnswers drops the responses to the next n orders. The orders are executed.
func (or *Ordering) DropAnswers(n int) {
	or.mu.Lock()
	defer or.mu.Unlock()

	or.answersToDrop = n
}

// SetDown makes the interface refuse orders with status 503 if isDown is true, and accept
// them again if it is false. The list of servers is served in both cases.
func (or *Ordering) SetDown(isDown bool) {
	or.mu.Lock()
	defer or.mu.Unlock()

	or.isDown = isDown
}

// Records returns the records of all calls.
func (or *Ordering) Records() []OrderRecord {
	or.mu.Lock()
	defer or.mu.Unlock()

	return append([]OrderRecord(nil), or.records...)
}

// RunningServers returns the backend servers that are billed now.
func (or *Ordering) RunningServers() []RunningServer {
	or.mu.Lock()
	defer or.mu.Unlock()

	out := make([]RunningServer, 0, len(or.servers))
	for _, s := range or.servers {
		out = append(out, *s)
	}

	return out
}

// ServerSeconds returns the total time in seconds that servers of a class were billed for.
func (or *Ordering) ServerSeconds(class string) float64 {
	or.mu.Lock()
	defer or.mu.Unlock()

	sum := 0.0
	for _, s := range or.stoppedServers {
		if s.Class == class {
			sum += s.Until.Sub(s.From).Seconds()
		}
	}
	for _, s := range or.servers {
		if s.Class == class {
			sum += time.Since(s.From).Seconds()
		}
	}

	return sum
}

// ReportRecord records one call to the usage interface.
type ReportRecord struct {
	Window      uint64
	Body        string
	LeaseHolder string
	Fencing     uint64
	At          time.Time
}

// UsageSink is a stand-in for the interface that receives usage reports.
type UsageSink struct {
	server
	mu            sync.Mutex
	records       []ReportRecord
	answersToDrop int
	isDown        bool
}

// NewUsageSink starts a usage interface on address.
func NewUsageSink(address string) (*UsageSink, error) {
	us := &UsageSink{}
	r := chi.NewRouter()
	r.Put("/v1/reports/{window}", us.report)
	us.handler = r

	return us, us.start(address)
}

func (us *UsageSink) report(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.ParseUint(chi.URLParam(r, "window"), 10, 64)
	b, rerr := io.ReadAll(r.Body)
	if err != nil || rerr != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	fencing, _ := strconv.ParseUint(r.Header.Get("X-Fencing"), 10, 64)
	us.mu.Lock()
	down := us.isDown
	if !down {
		us.records = append(us.records, ReportRecord{Window: window, Body: string(b), LeaseHolder: r.Header.Get("X-Giver"), Fencing: fencing, At: time.Now()})
	}
	drop := us.answersToDrop > 0
	if drop {
		us.answersToDrop--
	}
	us.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case drop:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// DropAnswers drops the responses to the next n reports. The reports are recorded.
func (us *UsageSink) DropAnswers(n int) {
	us.mu.Lock()
	defer us.mu.Unlock()

	us.answersToDrop = n
}

// SetDown makes the interface refuse all calls with status 503 if isDown is true, and serve
// again if it is false.
func (us *UsageSink) SetDown(isDown bool) {
	us.mu.Lock()
	defer us.mu.Unlock()

	us.isDown = isDown
}

// Records returns the records of all accepted reports.
func (us *UsageSink) Records() []ReportRecord {
	us.mu.Lock()
	defer us.mu.Unlock()

	return append([]ReportRecord(nil), us.records...)
}
