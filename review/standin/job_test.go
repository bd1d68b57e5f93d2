//go:build review

package standin_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// job is a batch job.
type job struct {
	id   string
	body []byte
}

// page is the answer to a read of results.
type page struct {
	Total   int               `json:"total"`
	Results []json.RawMessage `json:"results"`
}

// newJob returns a job of items with short texts.
func newJob(items int) *job {
	id := fmt.Sprintf("%016x", rand.Uint64())
	var requests []map[string]any
	for i := range items {
		requests = append(requests, map[string]any{
			"id": fmt.Sprintf("%08x%08x", rand.Uint32(), i), "path": "/pule252/3/91c4", "headers": map[string]string{"Model": "daka510000", "Token-Counts": "540,400"},
			"body": "q83vEjRWeJA=", "tokens": 940, "group": fmt.Sprintf("g%05d", i/8),
		})
	}
	b, err := json.Marshal(map[string]any{"step": 1, "model": "daka510000", "min_version": 1, "target_groups": items / 8, "requests": requests})
	if err != nil {
		panic(err) // a map of texts and numbers always encodes
	}

	return &job{id, b}
}

// submit sends a job to the gateways in turn until one accepts it.
func (de *deployment) submit(jo *job) bool {
	gateways := de.ofClass("edge")
	for i := range 10 {
		no := gateways[i%len(gateways)]
		rs, _, err := call(http.MethodPost, "http://"+no.ip+":"+clientPort+"/pule252/"+jo.id, host, map[string]string{
			"X-Api-Key": key, "Attempt-Id": jo.id, "Content-Type": "application/json",
		}, jo.body, 5*time.Second)
		if err == nil && rs.StatusCode == http.StatusAccepted {
			de.record.add("%s accepts job %s of %d bytes", no.name, jo.id, len(jo.body))

			return true
		}
		time.Sleep(500 * time.Millisecond)
	}

	return false
}

// countDone returns how many requests the engines have run to their end.
func (de *deployment) countDone() int {
	n := 0
	for _, se := range de.servers {
		se.mu.Lock()
		n += len(se.done)
		se.mu.Unlock()
	}

	return n
}
