package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
)

// CrashMark in a prompt makes the engine crash while it generates the answer.
const CrashMark = "CRASH-THE-ENGINE"

// EngineConfig configures an Engine.
type EngineConfig struct {
	Model         string
	Version       string
	Slots         int
	TokenTime     time.Duration // time per token of each request
	PrefillTime   time.Duration // time before the first token if the prompt is not in the cache
	SwapTime      time.Duration // time to load a version
	CacheSize     int           // capacity of the prefix cache, 0 for no cache
	ChecksFencing bool          // refuse orders with a fencing number below the highest seen
	OmitVersion   bool          // omit the weight version from the chunks
	RestartDelay  time.Duration // time between a crash and the restart
	Store         *WeightStore  // grants a permit for each load, nil for loads without limit
	// StraggleEvery makes about one in this many requests ten times slower per token, 0 for none.
	StraggleEvery int
}

// Run records one request to an engine.
type Run struct {
	ID       string
	Prompt   string
	Tokens   int
	Ended    bool
	Started  time.Time
	Headers  http.Header
	Versions []string
}

// WeightOrder records an order to load or activate a weight version.
type WeightOrder struct {
	ID          string
	Kind        string
	Version     string
	LeaseHolder string
	Fencing     uint64
	At          time.Time
	Accepted    bool // false if refused because of its fencing number
}

// Engine is a stand-in for a model engine. The text of each token contains the weight
// version that generated it, so that checks can compare a sample with its text.
type Engine struct {
	server
	cfg   EngineConfig
	slots chan struct{}

	mu             sync.Mutex
	instance       int
	version        string
	loadedVersion  string
	state          string
	highestFencing uint64
	running        int
	queued         int
	runs           map[string]*Run
	orders         []WeightOrder
	swapsToFail    int
	cache          map[string]uint64 // cache key to time of last use, in Unix ns
	cacheSequence  uint64
	events         []cacheEvent
	crashes        int
	crashed        chan struct{} // closed at a crash
	tokens         uint64
	requestCount   int
	extraTokenTime time.Duration
	isClosed       bool
}

type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Key      string `json:"cache_key"`
	Evicted  bool   `json:"evicted"`
}

// NewEngine starts an engine on address.
func NewEngine(address string, cfg EngineConfig) (*Engine, error) {
	en := &Engine{
		cfg: cfg, slots: make(chan struct{}, max(cfg.Slots, 1)), version: cfg.Version, loadedVersion: cfg.Version,
		state: "ready", runs: map[string]*Run{}, cache: map[string]uint64{}, crashed: make(chan struct{}), instance: 1,
	}
	r := chi.NewRouter()
	r.Post("/v1/completions", en.complete)
	r.Get("/v1/status", en.status)
	r.Post("/v1/weights/load", func(w http.ResponseWriter, r *http.Request) { en.handleOrder(w, r, "load") })
	r.Post("/v1/weights/activate", func(w http.ResponseWriter, r *http.Request) { en.handleOrder(w, r, "activate") })
	r.Get("/v1/cache_events", en.cacheEvents)
	r.Post("/v1/abort", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, struct{}{}) })
	en.handler = r

	return en, en.start(address)
}

type completionBody struct {
	ID        string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	CacheKey  string `json:"cache_key"`
}

// outputLength derives the number of tokens of an answer from a hash of the seed and
// prompt. Most answers are short, some are long.
func outputLength(rq *completionBody) int {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s", rq.Seed, rq.Prompt))
	u := float64(h%10_000) / 10_000
	n := 4 + int(28*u*u*u*float64(rq.MaxTokens)/32)

	return max(1, min(n, rq.MaxTokens))
}

func (en *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var rq completionBody
	if !readJSON(w, r, &rq) {
		return
	}
	if rq.Model != en.cfg.Model || rq.MaxTokens < 1 {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "the model is not served or max_tokens is below 1"})

		return
	}

	en.mu.Lock()
	en.queued++
	down := en.crashed
	en.mu.Unlock()
	select {
	case en.slots <- struct{}{}:
		defer func() { <-en.slots }()
	case <-r.Context().Done():
		en.mu.Lock()
		en.queued--
		en.mu.Unlock()

		return
	}
	run := en.beginRun(&rq, r.Header)
	defer en.finishRun(run)
	en.generate(w, r, &rq, run, down)
}

func (en *Engine) beginRun(rq *completionBody, h http.Header) *Run {
	en.mu.Lock()
	defer en.mu.Unlock()

	en.queued--
	en.running++
	en.requestCount++
	run := &Run{ID: rq.ID, Prompt: rq.Prompt, Started: time.Now(), Headers: h.Clone()}
	en.runs[fmt.Sprintf("%s#%d", rq.ID, en.requestCount)] = run

	return run
}

func (en *Engine) finishRun(run *Run) {
	en.mu.Lock()
	defer en.mu.Unlock()

	en.running--
	run.Ended = true
}

func (en *Engine) generate(w http.ResponseWriter, r *http.Request, rq *completionBody, run *Run, down chan struct{}) {
	pace := en.cfg.TokenTime
	en.mu.Lock()
	if en.cfg.StraggleEvery > 0 && en.requestCount%en.cfg.StraggleEvery == 0 {
		pace *= 10
	}
	pace += en.extraTokenTime
	en.mu.Unlock()
	if !en.touchCache(rq.CacheKey) {
		wait(r, down, en.cfg.PrefillTime)
	}

	w.Header().Set("Content-Type", "text/event-stream")
	fl, _ := w.(http.Flusher)
	n := outputLength(rq)
	for i := range n {
		if !wait(r, down, pace) {
			return
		}
		if strings.Contains(rq.Prompt, CrashMark) {
			en.Crash()

			return
		}
		finish := ""
		if i == n-1 {
			finish = "stop"
		}
		if !en.writeToken(w, rq, run, finish) {
			return
		}
		fl.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	fl.Flush()
}

// wait sleeps for d. It returns false if the request was cancelled or the engine
// crashed in the meantime.
func wait(r *http.Request, down chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return r.Context().Err() == nil
	}

	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	case <-down:
		return false
	}
}

// writeToken writes one token as an event of the response stream.
func (en *Engine) writeToken(w http.ResponseWriter, rq *completionBody, run *Run, finish string) bool {
	en.mu.Lock()
	v := en.version
	run.Tokens++
	run.Versions = append(run.Versions, v)
	en.tokens++
	n := run.Tokens
	en.mu.Unlock()

	body := map[string]any{
		"id":      rq.ID,
		"choices": []map[string]any{{"text": fmt.Sprintf(" %s:%d", v, n), "finish_reason": finish}},
		"usage":   map[string]int{"completion_tokens": 1, "prompt_tokens": promptTokens(rq.Prompt, n)},
	}
	if !en.cfg.OmitVersion {
		body["weight_version"] = v
	}
	b, err := json.Marshal(body)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", b)

	return err == nil
}

// promptTokens returns the length of the prompt for token number 1 and 0 for the
// others, so that the sum over all chunks counts the prompt once.
func promptTokens(prompt string, n int) int {
	if n > 1 {
		return 0
	}

	return len(strings.Fields(prompt))
}

// touchCache adds key to the prefix cache and reports whether it was cached already. A
// full cache evicts the least recently used key.
func (en *Engine) touchCache(key string) bool {
	if key == "" || en.cfg.CacheSize == 0 {
		return false
	}

	en.mu.Lock()
	defer en.mu.Unlock()

	_, hit := en.cache[key]
	if !hit {
		if len(en.cache) >= en.cfg.CacheSize {
			oldest := ""
			for k, used := range en.cache {
				if oldest == "" || used < en.cache[oldest] {
					oldest = k
				}
			}
			delete(en.cache, oldest)
			en.recordCacheEvent(oldest, true)
		}
		en.recordCacheEvent(key, false)
	}
	en.cache[key] = uint64(time.Now().UnixNano())

	return hit
}

// recordCacheEvent records a change of the cache. Only the latest 500 to 1,000 events are retained.
func (en *Engine) recordCacheEvent(key string, evicted bool) {
	en.cacheSequence++
	en.events = append(en.events, cacheEvent{Sequence: en.cacheSequence, Key: key, Evicted: evicted})
	if len(en.events) > 1000 {
		en.events = en.events[500:]
	}
}

func (en *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	en.mu.Lock()
	defer en.mu.Unlock()

	out := []cacheEvent{}
	for _, ev := range en.events {
		if ev.Sequence > after {
			out = append(out, ev)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": out})
}

func (en *Engine) status(w http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()

	writeJSON(w, http.StatusOK, map[string]any{
		"instance": strconv.Itoa(en.instance), "state": en.state, "weight_version": en.version, "loaded_version": en.loadedVersion,
		"running": en.running, "queued": en.queued, "cache_sequence": en.cacheSequence,
	})
}

type orderBody struct {
	ID          string `json:"order_id"`
	Version     string `json:"version"`
	Fencing     uint64 `json:"fencing"`
	LeaseHolder string `json:"giver"`
}

func (en *Engine) handleOrder(w http.ResponseWriter, r *http.Request, kind string) {
	var or orderBody
	if !readJSON(w, r, &or) {
		return
	}

	given := WeightOrder{ID: or.ID, Kind: kind, Version: or.Version, LeaseHolder: or.LeaseHolder, Fencing: or.Fencing, At: time.Now()}
	en.mu.Lock()
	if en.cfg.ChecksFencing && or.Fencing < en.highestFencing {
		en.orders = append(en.orders, given)
		en.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]string{"error": "the fencing number is too low"})

		return
	}
	given.Accepted = true
	en.highestFencing = max(en.highestFencing, or.Fencing)
	en.orders = append(en.orders, given)
	fails := en.swapsToFail > 0
	if fails {
		en.swapsToFail--
	}
	en.mu.Unlock()

	status, text := en.executeOrder(r, kind, or.Version, fails)
	writeJSON(w, status, map[string]string{"result": text})
}

// executeOrder loads or activates a version. It returns the status and text of the response.
func (en *Engine) executeOrder(r *http.Request, kind, version string, fails bool) (int, string) {
	if kind == "load" {
		if en.cfg.Store != nil {
			done, ok := en.cfg.Store.fetch(en.cfg.Model, version)
			if !ok {
				return http.StatusServiceUnavailable, "the weight store refused"
			}
			defer done()
		}
		if !wait(r, nil, en.cfg.SwapTime) {
			return http.StatusServiceUnavailable, "gone"
		}
	}
	if fails {
		return http.StatusInternalServerError, "the swap failed"
	}

	en.mu.Lock()
	defer en.mu.Unlock()
	if kind == "load" {
		en.loadedVersion = version

		return http.StatusOK, "loaded"
	}
	if en.loadedVersion != version {
		return http.StatusConflict, "not loaded"
	}
	en.version = version

	return http.StatusOK, "active"
}

// Crash stops the engine and its requests at once. The engine restarts after the
// configured downtime as a new instance with an empty cache.
func (en *Engine) Crash() {
	en.mu.Lock()
	if en.state == "down" || en.isClosed {
		en.mu.Unlock()

		return
	}
	en.state = "down"
	en.crashes++
	close(en.crashed)
	en.mu.Unlock()

	go func() {
		en.kill()
		time.Sleep(en.cfg.RestartDelay)
		en.mu.Lock()
		en.instance++
		en.state, en.crashed = "ready", make(chan struct{})
		en.cache = map[string]uint64{}
		en.cacheSequence++ // the gap in the sequence shows that the cache was lost
		en.events = nil
		closed := en.isClosed
		en.mu.Unlock()
		if !closed {
			_ = en.start(en.Address()) // if another process took the address, the engine stays down
		}
	}()
}

// Close stops the engine. It does not restart.
func (en *Engine) Close() {
	en.mu.Lock()
	en.isClosed = true
	en.mu.Unlock()
	en.server.Close()
}

// FailSwaps makes the next n orders to load or activate a version fail.
func (en *Engine) FailSwaps(n int) {
	en.mu.Lock()
	defer en.mu.Unlock()

	en.swapsToFail = n
}

// SetExtraTokenTime sets an additional time per token for requests that start from now on.
func (en *Engine) SetExtraTokenTime(d time.Duration) {
	en.mu.Lock()
	defer en.mu.Unlock()

	en.extraTokenTime = d
}

// Runs returns the records of all requests.
func (en *Engine) Runs() []Run {
	en.mu.Lock()
	defer en.mu.Unlock()

	out := make([]Run, 0, len(en.runs))
	for _, r := range en.runs {
		out = append(out, *r)
	}

	return out
}

// Orders returns the records of all orders.
func (en *Engine) Orders() []WeightOrder {
	en.mu.Lock()
	defer en.mu.Unlock()

	return append([]WeightOrder(nil), en.orders...)
}

// Tokens returns the number of tokens generated.
func (en *Engine) Tokens() uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()

	return en.tokens
}

// Version returns the active weight version.
func (en *Engine) Version() string {
	en.mu.Lock()
	defer en.mu.Unlock()

	return en.version
}

// Crashes returns how often the engine crashed.
func (en *Engine) Crashes() int {
	en.mu.Lock()
	defer en.mu.Unlock()

	return en.crashes
}
