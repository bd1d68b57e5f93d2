package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/deployment"
	"github.com/tamarackbay/tamarackbay/internal/quantile"
	"github.com/tamarackbay/tamarackbay/internal/settings"
)

const (
	pathRate     = 1000 // requests per second to each target while latencies are measured
	pathDuration = 4 * time.Second
	pathWorkers  = 64
)

// measurePath compares calls through a gateway and an agent with direct calls to the
// stand-in of a service, in the same run.
func measurePath() ([]Figure, error) {
	folder, clean, err := tempFolder()
	if err != nil {
		return nil, err
	}
	defer clean()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()

	set := declaration.NewSet()
	wo := declaration.Workspace{}
	wo.Defaults()
	set.Workspaces["w"] = wo
	ro := declaration.Route{Service: "s", Repeatable: true}
	ro.Defaults()
	set.Routes["r"] = ro
	de, err := deployment.Start(ctx, deployment.Config{
		Gateways: 1, Folder: folder, Declarations: set, NoOrdering: true, NoUsage: true, AdjustSettings: func(*settings.Gateway) {},
	})
	if err != nil {
		return nil, err
	}
	defer de.Close()
	if err := de.StartServer("s-1", "c", declaration.Class{Service: "s", Slots: 256}, "a", ""); err != nil {
		return nil, err
	}
	_, token, err := de.IssueKey(ctx, "w")
	if err != nil {
		return nil, err
	}
	if err := de.WaitForReadyServers(ctx, "s", 1, ""); err != nil {
		return nil, err
	}

	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	direct := target{hc, "http://" + de.Services()["s-1"].Address() + "/x", ""}
	through := target{hc, de.URLs()[0] + "/r/r/x", token}
	var out []Figure
	lat, err := sendPaced(ctx, direct, through)
	if err != nil {
		return nil, err
	}
	for _, p := range []float64{0.5, 0.99} {
		d, g := quantile.Of(lat[0], p), quantile.Of(lat[1], p)
		out = append(out,
			Figure{fmt.Sprintf("direct call at %d/s, p%g", pathRate, p*100), "ms", ms(d)},
			Figure{fmt.Sprintf("added by gateway and agent at %d/s, p%g", pathRate, p*100), "ms", ms(g - d)})
	}
	for i, t := range []target{direct, through} {
		rate, cpu := t.flood(ctx)
		name := []string{"direct calls a second, 64 at once", "calls a second through gateway and agent, 64 at once"}[i]
		out = append(out, Figure{name, "1/s", rate}, Figure{"CPU of one, client and service included", "us", cpu * 1e6})
	}

	return out, nil
}

// target is a URL that requests are measured against.
type target struct {
	client *http.Client
	url    string
	token  string
}

func (t target) get(ctx context.Context) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url, strings.NewReader(""))
	if err != nil {
		return err
	}
	if t.token != "" {
		rq.Header.Set("Authorization", "Bearer "+t.token)
	}
	rs, err := t.client.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	b, err := io.ReadAll(rs.Body)
	if err == nil && rs.StatusCode != http.StatusOK {
		err = fmt.Errorf("capacity: GET %s: status %d: %s", t.url, rs.StatusCode, b)
	}

	return err
}

// sendPaced sends requests at a fixed rate, independent of the responses (open loop), and
// returns the latencies by target. Each tick sends one request to every target, so
// that all targets are measured under the same load of the machine.
func sendPaced(ctx context.Context, targets ...target) ([][]time.Duration, error) {
	var mu sync.Mutex
	out := make([][]time.Duration, len(targets))
	var first error
	var wg sync.WaitGroup
	send := func(i int) {
		defer wg.Done()
		at := time.Now()
		err := targets[i].get(ctx)
		d := time.Since(at)
		mu.Lock()
		defer mu.Unlock()
		if err != nil && first == nil {
			first = err
		}
		out[i] = append(out[i], d)
	}
	for _, phase := range []time.Duration{pathDuration / 4, pathDuration} { // the first phase is a warm-up
		for i := range out {
			out[i] = nil
		}
		began := time.Now()
		for n := 0; time.Since(began) < phase; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / pathRate)))
			for i := range targets {
				wg.Add(1)
				go send(i)
			}
		}
		wg.Wait()
	}

	return out, first
}

// flood keeps pathWorkers requests in flight for pathDuration. It returns the rate of
// successful requests and the CPU seconds of one.
func (t target) flood(ctx context.Context) (perSecond, cpu float64) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	n := 0
	before, began := cpuTime(), time.Now()
	for range pathWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			own := 0
			for time.Since(began) < pathDuration {
				if t.get(ctx) == nil {
					own++
				}
			}
			mu.Lock()
			n += own
			mu.Unlock()
		}()
	}
	wg.Wait()

	return float64(n) / time.Since(began).Seconds(), (cpuTime() - before).Seconds() / float64(max(n, 1))
}
