//go:build review

package deployment

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["left-returns"] = leftReturns }

// servePlain answers after 150 ms.
func servePlain(_ *sampler, w http.ResponseWriter, r *http.Request, rn run) {
	if !pause(r, 150*time.Millisecond) {
		return
	}
	fmt.Fprintf(w, "%s answers %s", rn.sampler, rn.id)
}

// leftReturns lets a sampler leave, kills processes of the core and of the edge at the same moment, and
// delivers a heartbeat of the sampler that was sent before it left. No request may reach the sampler
// later than drain_ms after the acknowledgement of its leave. Only those count that gateways took which
// were in touch.
func leftReturns(de *deployment) ([]string, error) {
	const (
		service = "registry"
		drain   = 2 * time.Second // drain_ms
		contact = 3 * time.Second // contact_ms
		late    = 4600 * time.Millisecond
		lingers = 8 * time.Second // from the acknowledgement of its leave to the sampler's end
	)
	for i := range 3 {
		if _, err := de.addSampler(fmt.Sprintf("p%d-", i), service, i, nil, servePlain); err != nil {
			return nil, err
		}
	}
	err := de.configure(1, []map[string]any{{
		"name": "r-visits", "path_prefix": "/visits/", "type": "non_idempotent", "timeout_ms": 2000, "slo_ms": 400, "priority": 2, "service": service,
		"max_attempts": 2, "public": false,
	}}, []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false}})
	if err != nil {
		return nil, err
	}

	stop := make(chan struct{})
	var wg sync.WaitGroup
	gas := de.of("gateway")
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(12 * time.Millisecond):
			}
			wg.Go(func() {
				id, ga := attemptID(), gas[n%len(gas)]
				de.note("client sends %s to %s", id, ga.name)
				an := de.call(2*time.Second, http.MethodPost, at(ga.ip, de.ports.client), fmt.Sprintf("/visits/%d", n), map[string]string{
					"Attempt-Id": id, "Deadline-Ms": "2000", "X-Api-Key": key,
				}, []byte("visit"))
				de.note("client got for %s: %s", id, an.summary())
			})
		}
	})
	de.sleep(6 * time.Second)

	sa := de.samplers[0]
	cos := de.of("controller")
	id, beat := sa.state() // the next heartbeat, which arrives late
	sent := time.Now()
	de.note("sampler %s sends a heartbeat that arrives %v late", id, late)
	sa.leave()
	an := de.call(time.Second, http.MethodDelete, at(cos[0].ip, de.ports.control), "/samplers/"+id, map[string]string{"Content-Type": "application/json"},
		[]byte(fmt.Sprintf(`{"born":%d}`, sa.born)))
	acked := time.Now()
	de.note("sampler %s leaves without draining: %s", id, an.summary())
	if an.status/100 != 2 {
		return nil, fmt.Errorf("the leave got status %d: %v", an.status, an.err)
	}
	de.sleep(300 * time.Millisecond)
	inTouch := acked
	if de.hasTrouble {
		killed := append(append([]*node{}, cos...), gas[0], gas[1])
		for _, no := range killed {
			no.signal(syscall.SIGKILL)
		}
		for _, no := range killed {
			no.kill()
		}
		de.sleep(600 * time.Millisecond)
		for _, no := range killed {
			if err := no.start(false); err != nil {
				return nil, err
			}
		}
		inTouch = time.Now().Add(contact + 200*time.Millisecond)
	}
	de.sleep(time.Until(sent.Add(late)))
	an = de.call(time.Second, http.MethodPut, at(cos[1].ip, de.ports.control), "/samplers/"+id, map[string]string{"Content-Type": "application/json"}, beat)
	de.note("the late heartbeat of %s arrives: %s", id, an.summary())
	de.sleep(time.Until(acked.Add(lingers)))
	sa.end()
	de.sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	from := acked.Add(drain)
	if inTouch.After(from) {
		from = inTouch
	}
	var breaks []string
	total := 0
	for _, rs := range de.allRuns() {
		for _, rn := range rs {
			total++
			if rn.sampler == id && rn.at.After(from) {
				breaks = append(breaks, fmt.Sprintf("DRAIN: attempt %s reached %s %.3f s after its leave was acknowledged", rn.id, id, rn.at.Sub(acked).Seconds()))
			}
		}
	}
	if total == 0 {
		return nil, errNothing
	}

	return breaks, nil
}
