//go:build review

package deployment

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["streams-once"] = streamsOnce }

const (
	firstPiece = 300 * time.Millisecond // from the start of a run to its first piece
	piecePause = 100 * time.Millisecond
	pieces     = 4
)

// serveStream answers with a stream of pieces.
func serveStream(_ *sampler, w http.ResponseWriter, r *http.Request, rn run) {
	w.Header().Set("Content-Type", "text/event-stream")
	if !pause(r, firstPiece) {
		return
	}
	for i := 1; i <= pieces; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, rn.id, i)
		flush(w)
		if i < pieces && !pause(r, piecePause) {
			return
		}
	}
}

// streamsOnce sends streams to a route whose streams may not be resumed while samplers crash. No attempt
// may run more than once.
func streamsOnce(de *deployment) ([]string, error) {
	const service, count = "drafts", 9
	for i := range count {
		if _, err := de.addSampler(fmt.Sprintf("d%d-", i), service, i, nil, serveStream); err != nil {
			return nil, err
		}
	}
	err := de.configure(1, []map[string]any{{
		"name": "r-drafts", "path_prefix": "/drafts/", "type": "idempotent", "streaming": true, "resumable": false, "timeout_ms": 4000, "slo_ms": 600,
		"priority": 2, "service": service, "max_attempts": 3, "public": false,
	}}, []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false}})
	if err != nil {
		return nil, err
	}
	de.sleep(3 * time.Second)

	var wg sync.WaitGroup
	gas := de.of("gateway")
	send := func(n int) {
		id, ga := attemptID(), gas[n%len(gas)]
		de.note("client sends %s to %s", id, ga.name)
		an := de.call(5*time.Second, http.MethodPost, at(ga.ip, de.ports.client), fmt.Sprintf("/drafts/%d", n), map[string]string{
			"Attempt-Id": id, "Deadline-Ms": "4000", "X-Api-Key": key,
		}, []byte(fmt.Sprintf("draft %d", n)))
		de.note("client got for %s: %s", id, an.summary())
	}
	const lasts, gap = 30 * time.Second, 16 * time.Millisecond
	if de.hasTrouble {
		wg.Go(func() {
			for i := range 4 { // one of the nine at a time
				de.sleep(4 * time.Second)
				sa := de.samplers[2*i]
				sa.end()
				de.sleep(3 * time.Second)
				if err := sa.begin(); err != nil {
					de.note("sampler not started: %v", err)
				}
			}
		})
	}
	for n := range int(lasts / gap) {
		wg.Go(func() { send(n) })
		de.sleep(gap)
	}
	wg.Wait()

	runs := de.allRuns()
	if len(runs) == 0 {
		return nil, errNothing
	}
	var breaks []string
	for id, rs := range runs {
		if len(rs) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: attempt %s ran %d times, at %s and %s", id, len(rs), rs[0].sampler, rs[1].sampler))
		}
	}

	return breaks, nil
}
