//go:build review

package standin_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// answered is what a client got for one attempt.
type answered struct {
	id     string
	status int // 0 if the connection ended without an answer
	from   string
	sent   time.Time
}

// clients collects the answers of concurrent clients.
type clients struct {
	de  *deployment
	wg  sync.WaitGroup
	mu  sync.Mutex
	all []answered
}

// send sends a request to a gateway in the background, on a connection of its own.
func (cl *clients) send(no *node, id, path string, deadline time.Duration) {
	cl.wg.Add(1)
	go func() {
		defer cl.wg.Done()
		sent := time.Now()
		cl.de.record.add("client sends %s to %s", id, no.name)
		rs, _, err := call(http.MethodPost, "http://"+no.ip+":"+clientPort+path, host, map[string]string{
			"X-Api-Key": key, "Attempt-Id": id, "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
		}, []byte("body of "+id), deadline+500*time.Millisecond)
		an := answered{id: id, from: no.name, sent: sent}
		if err == nil {
			an.status = rs.StatusCode
		}
		cl.de.record.add("client gets %d for %s", an.status, id)
		cl.mu.Lock()
		cl.all = append(cl.all, an)
		cl.mu.Unlock()
	}()
}

func route(name, prefix, kind, service string, attempts int, more map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": 2000, "slo_ms": 150, "priority": 2, "service": service,
		"max_attempts": attempts, "public": false,
	}
	for k, v := range more {
		out[k] = v
	}

	return out
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false}
}

// extraRefusal lets one server of three send a few of its answers a second time, late.
func extraRefusal(de *deployment, hasTrouble bool) ([]string, error) {
	if err := de.start(3); err != nil {
		return nil, err
	}
	for i := range 3 {
		if err := de.newServer("wuno96b", 101+i, 4, 4, 50*time.Millisecond).start(); err != nil {
			return nil, err
		}
	}
	routes := []map[string]any{route("r-once", "/lohu930/", "non_idempotent", "wuno96b", 2, nil)}
	if err := de.configure(routes, []map[string]any{service("wuno96b")}); err != nil {
		return nil, err
	}
	if err := de.awaitServed("/lohu930/first"); err != nil {
		return nil, err
	}
	// Doses of the site's disruption: 5 s long, one of three servers, three of a hundred answers.
	const troubleTime, pause, troubles, extraShare = 5 * time.Second, 3 * time.Second, 7, 0.03
	faulty := de.servers[0]
	setShare := func(share float64) {
		faulty.mu.Lock()
		defer faulty.mu.Unlock()
		faulty.extraShare = share
	}
	cl := &clients{de: de}
	gateways := de.ofClass("edge")
	n := 0
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
			for range 40 {
				cl.send(gateways[n%len(gateways)], fmt.Sprintf("r%05d", n), "/lohu930/2f", 2*time.Second)
				n++
			}
		}
	}
	for range troubles {
		load(pause)
		if hasTrouble {
			setShare(extraShare)
			de.record.add("server %s begins to send extra answers", faulty.id)
		}
		load(troubleTime)
		setShare(0)
		de.record.add("it ends to send extra answers")
	}
	cl.wg.Wait()
	time.Sleep(500 * time.Millisecond)

	count := map[string]int{}
	for _, ru := range de.allRuns() {
		count[ru.id]++
	}
	var broken []string
	statuses := map[int]int{}
	for _, an := range cl.all {
		statuses[an.status]++
		switch {
		case count[an.id] > 1:
			broken = append(broken, fmt.Sprintf("TWICE: request %s of a non_idempotent route ran %d times, its client got %d", an.id, count[an.id], an.status))
		case count[an.id] > 0 && (an.status == http.StatusServiceUnavailable || an.status == http.StatusTooManyRequests):
			broken = append(broken, fmt.Sprintf("REFUSED: request %s of a non_idempotent route ran, its client got %d", an.id, an.status))
		}
	}
	de.record.add("server %s sent %d answers while it was faulty, %d of them a second time; it refused %d requests in all", faulty.id, faulty.answers, faulty.extras, faulty.refusals)
	de.record.add("%d requests, by status: %v", n, statuses)
	slices.Sort(broken)

	return broken, nil
}

// lostLeave lets a controller lose power right after it has acknowledged that a server leaves.
func lostLeave(de *deployment, hasTrouble bool) ([]string, error) {
	if err := de.start(2); err != nil {
		return nil, err
	}
	// Two of sixteen servers leave at once: less than the 13% of the site's disruption.
	for i := range 16 {
		if err := de.newServer("wuno96b", 101+i, 6, 24, 25*time.Millisecond).start(); err != nil {
			return nil, err
		}
	}
	routes := []map[string]any{route("r-look", "/lohu930/", "idempotent", "wuno96b", 2, nil)}
	if err := de.configure(routes, []map[string]any{service("wuno96b")}); err != nil {
		return nil, err
	}
	if err := de.awaitServed("/lohu930/first"); err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second) // all machines are in touch, and the controllers know all servers

	const darkTime = 5 * time.Second // how long the controller has no power
	cl := &clients{de: de}
	gateways := de.ofClass("edge")
	burst := func(name string) {
		for i := range 120 {
			cl.send(gateways[i%len(gateways)], fmt.Sprintf("%s-%03d", name, i), "/lohu930/2f", 2*time.Second)
		}
	}
	burst("before")
	time.Sleep(1500 * time.Millisecond)
	no := de.ofClass("core")[2]
	leaving := de.servers[:2]
	acked := map[*server]time.Time{}
	for i, se := range leaving {
		time.Sleep(time.Duration(i) * 15 * time.Millisecond)
		if !se.leave(no) {
			return nil, errCannotRun
		}
		acked[se] = time.Now()
	}
	if hasTrouble {
		no.kill()
	}
	last := time.Now()
	for _, se := range leaving {
		de.record.add("%s acknowledged %v ago that server %s leaves", no.name, last.Sub(acked[se]), se.id)
	}
	de.record.add("%s loses power: %v", no.name, hasTrouble)
	time.Sleep(time.Until(last.Add(contactTime + 200*time.Millisecond)))
	burst("after")
	cl.wg.Wait()
	time.Sleep(time.Until(last.Add(darkTime)))
	if hasTrouble {
		<-no.ended
		de.record.add("%s has power again", no.name)
		if err := de.startNode(no, false); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)

	var broken []string
	for _, se := range leaving {
		for _, ru := range se.runs {
			// The gateways are in touch when the second burst is sent.
			if strings.HasPrefix(ru.id, "after-") && ru.at.After(acked[se].Add(drainTime)) {
				broken = append(broken, fmt.Sprintf("DRAIN: request %s from %s reaches server %s %.2f s after the acknowledgement that it leaves", ru.id, ru.from, ru.server, ru.at.Sub(acked[se]).Seconds()))
			}
		}
	}

	return broken, nil
}

// repeatedStream lets a server crash while it runs requests for streams that may not be resumed.
func repeatedStream(de *deployment, hasTrouble bool) ([]string, error) {
	if err := de.start(1); err != nil {
		return nil, err
	}
	for i := range 7 {
		se := de.newServer("wuno96b", 101+i, 8, 24, 0)
		se.streams, se.firstEventAfter, se.eventPause = true, 250*time.Millisecond, 20*time.Millisecond
		if err := se.start(); err != nil {
			return nil, err
		}
	}
	routes := []map[string]any{route("r-stream", "/lohu930/", "idempotent", "wuno96b", 2, map[string]any{"streaming": true})}
	if err := de.configure(routes, []map[string]any{service("wuno96b")}); err != nil {
		return nil, err
	}
	if err := de.awaitServed("/lohu930/first"); err != nil {
		return nil, err
	}

	cl := &clients{de: de}
	gateways := de.ofClass("edge")
	n := 0
	began := time.Now()
	isDown, isBack := false, false
	for ; time.Since(began) < 12*time.Second; time.Sleep(8 * time.Millisecond) {
		cl.send(gateways[n%len(gateways)], fmt.Sprintf("s%04d", n), "/lohu930/2f", 2*time.Second)
		n++
		if hasTrouble && !isDown && time.Since(began) > 4*time.Second {
			isDown = true
			de.record.add("server %s crashes", de.servers[0].id)
			de.servers[0].stop()
		}
		if isDown && !isBack && time.Since(began) > 8*time.Second {
			isBack = true
			if err := de.servers[0].start(); err != nil {
				return nil, err
			}
		}
	}
	cl.wg.Wait()

	count := map[string]int{}
	for _, ru := range de.allRuns() {
		count[ru.id]++
	}
	var broken []string
	for _, an := range cl.all {
		if count[an.id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: request %s for a stream that may not be resumed ran %d times, its client got %d", an.id, count[an.id], an.status))
		}
	}
	slices.Sort(broken)

	return broken, nil
}
