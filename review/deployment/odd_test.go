//go:build review

package deployment

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["odd-service"] = oddService }

const model = "daka510000"

// text is a run of an item at a sampler.
type text struct {
	from, to time.Time
	isWhole  bool
}

// texts records the runs of items.
type texts struct {
	mu    sync.Mutex
	runs  map[string][]text
	pace  time.Duration // pause before each event
	count int           // events of a text
}

// serve generates the text of an item.
func (te *texts) serve(sa *sampler, w http.ResponseWriter, r *http.Request, rn run) {
	w.Header().Set("Content-Type", "text/event-stream")
	sa.mu.Lock()
	w.Header().Set("Weight-Versions", fmt.Sprint(sa.versions[model]))
	sa.mu.Unlock()
	tx := text{from: rn.at}
	first := 1
	if rn.lastEvent != "" {
		_, _ = fmt.Sscan(rn.lastEvent, &first)
		first++
	}
	for i := first; i <= te.count; i++ {
		if !pause(r, te.pace) {
			break
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, rn.id, i)
		flush(w)
		tx.isWhole = i == te.count
	}
	tx.to = time.Now()
	te.mu.Lock()
	defer te.mu.Unlock()
	te.runs[rn.id] = append(te.runs[rn.id], tx)
}

// servicesAndRoutes returns a configuration with a route for batch jobs and one for reward calls.
func servicesAndRoutes() (routes, services []map[string]any) {
	routes = []map[string]any{
		{
			"name": "r-jobs", "path_prefix": "/jobs/", "type": "sample", "timeout_ms": 10000, "slo_ms": 500, "priority": 1, "service": "engines",
			"max_attempts": 3, "public": false, "result_deadline_ms": 7500, "max_queue_s": 12,
		},
		{
			"name": "r-scores", "path_prefix": "/scores/", "type": "idempotent", "timeout_ms": 2000, "slo_ms": 400, "priority": 2, "service": "scorers",
			"max_attempts": 4, "public": true,
		},
	}
	services = []map[string]any{
		{"name": "engines", "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": slots, "kv_capacity": 111015, "kv_bytes": 163840, "models": []map[string]any{{"name": model}},
		}},
		{"name": "scorers", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
	}

	return routes, services
}

// items returns the IDs of a step's items and the body that submits it.
func items(job string, groups, each int) (ids []string, body []byte) {
	var requests []map[string]any
	for g := range groups {
		for k := range each {
			id := fmt.Sprintf("%s-%d-%d", job, g, k)
			ids = append(ids, id)
			requests = append(requests, map[string]any{
				"id": id, "path": "/jobs/3/" + id, "headers": map[string]string{"Model": model, "Token-Counts": "1016,60", "Prompt-Prefix": "9c2e41:1000,5d07b8:16"},
				"body": base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), "tokens": 1076, "group": fmt.Sprintf("%s-g%d", job, g),
				"scorer": map[string]any{"id": "s-" + id, "host": host, "path": "/scores/" + id, "body": "3q2+7w=="},
			})
		}
	}
	body, _ = json.Marshal(map[string]any{"step": 0, "model": model, "min_version": 1, "target_groups": groups, "requests": requests}) // plain values always encode

	return ids, body
}

// oddService runs a step of a trainer while heartbeats of another writer arrive, which name a service that
// does not exist. No item may be left at no sampler.
func oddService(de *deployment) ([]string, error) {
	const (
		engines = 3
		allowed = 7500 * time.Millisecond // result_deadline_ms
		idle    = 5 * time.Second         // at no sampler
	)
	te := &texts{runs: map[string][]text{}, pace: 100 * time.Millisecond, count: 6}
	for i := range engines {
		if _, err := de.addSampler(fmt.Sprintf("e%d-", i), "engines", i, []string{model}, te.serve); err != nil {
			return nil, err
		}
		if _, err := de.addSampler(fmt.Sprintf("s%d-", i), "scorers", i, nil, func(_ *sampler, _ http.ResponseWriter, r *http.Request, _ run) {
			_ = pause(r, 20*time.Millisecond)
		}); err != nil {
			return nil, err
		}
	}
	routes, services := servicesAndRoutes()
	if err := de.configure(1, routes, services); err != nil {
		return nil, err
	}
	de.sleep(6 * time.Second)

	gas, cos := de.of("gateway"), de.of("controller")
	ids, body := items("7c41e09b52d6a3f8", 12, 8)
	header := map[string]string{"X-Api-Key": key, "Attempt-Id": "7c41e09b52d6a3f8", "Content-Type": "application/json"}
	an := de.call(2*time.Second, http.MethodPost, at(gas[0].ip, de.ports.client), "/jobs/7c41e0", header, body)
	accepted := time.Now()
	de.note("trainer submits a step of %d items: %s", len(ids), an.summary())
	if an.status != http.StatusAccepted {
		return nil, fmt.Errorf("the step got status %d: %v", an.status, an.err)
	}
	if de.hasTrouble {
		de.sleep(300 * time.Millisecond)
		for i, sa := range de.samplers {
			if sa.service != "engines" {
				continue
			}
			id, _ := sa.state()
			odd, _ := json.Marshal(map[string]any{ // plain values always encode
				"service": "nosuch", "address": at(sa.ip, sa.port), "zone": sa.zone, "version": "v1", "slots": slots, "state": "ready",
				"cold_remaining_ms": 0, "stage": "both", "models": []any{}, "seq": 1, "born": time.Now().UnixMilli(),
			})
			an := de.call(time.Second, http.MethodPut, at(cos[i%len(cos)].ip, de.ports.control), "/samplers/"+id, map[string]string{"Content-Type": "application/json"}, odd)
			de.note("another writer sends %s as the heartbeat of %s: %s", odd, id, an.summary())
		}
	}
	listed := map[string]bool{}
	for next := 0; time.Since(accepted) < allowed && de.ctx.Err() == nil; de.sleep(400 * time.Millisecond) {
		an := de.call(2*time.Second, http.MethodGet, at(gas[next%len(gas)].ip, de.ports.client), fmt.Sprintf("/lots/7c41e09b52d6a3f8?after=%d", next), map[string]string{"X-Api-Key": key}, nil)
		var pa struct {
			Next    int `json:"next_token"`
			Results []struct{ ID, State string }
		}
		if an.status != http.StatusOK || json.Unmarshal(an.body, &pa) != nil {
			de.note("trainer reads results: %s", an.summary())

			continue
		}
		next = pa.Next
		for _, re := range pa.Results {
			listed[re.ID] = true
			de.note("trainer reads %s, %s", re.ID, re.State)
		}
		if len(listed) == len(ids) {
			break
		}
	}
	over := time.Now()
	de.note("%d of %d items are listed %.1f s after the step was accepted", len(listed), len(ids), over.Sub(accepted).Seconds())

	te.mu.Lock()
	defer te.mu.Unlock()
	if len(te.runs) == 0 {
		return nil, errNothing
	}
	last := accepted // when a sampler last worked on an item: since then all of them are empty
	for _, txs := range te.runs {
		for _, tx := range txs {
			if tx.to.After(last) {
				last = tx.to
			}
		}
	}
	var breaks []string
	for _, id := range ids {
		if !listed[id] && len(te.runs[id]) == 0 && over.Sub(last) > idle {
			breaks = append(breaks, fmt.Sprintf("LOST: the step ran out of time, item %s was at no sampler, and all samplers were empty for %.1f s", id, over.Sub(last).Seconds()))
		}
	}

	return breaks, nil
}
