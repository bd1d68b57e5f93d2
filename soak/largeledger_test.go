package soak_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/program"
)

const (
	largeJobs, largeJobItems, largeJobEvents = 16, 96, 4
	// largeEventBytes is the size of an event. The texts of all jobs take about 30 MB.
	largeEventBytes = 5000
	// filledWithin limits the time until all jobs are complete.
	filledWithin = 30 * time.Second
	// maxLeaderChanges bounds the changes of the stores' leader after the first one from the start.
	maxLeaderChanges = 2
	// leaderWatch is for how long from the start changes of the leader are counted.
	leaderWatch = 8 * time.Second
)

// Guards against stores that never settle after a loss of power because of the size of what they hold.
var _ = ginkgo.Describe("a loss of power of all machines, and of the disks of two stores, with a large ledger", func() {
	ginkgo.It("keeps all jobs readable, and the stores settle on a leader", func() {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		pl := &powerLoss{de: startLoaded(ctx, &wg, Config{
			Folder: filepath.Join(folder, "large"), Subnet: 97, Controllers: 5, Stores: 7, Gateways: 2, Engines: 4, Tolerated: 2,
			Work: shareWork, Heartbeat: deployedHeartbeat, Padding: strings.Repeat("x", largeEventBytes),
		})}
		defer func() {
			cancel()
			wg.Wait()
			Expect(pl.de.close()).To(Succeed())
		}()
		began := time.Now()
		for i := range largeJobs {
			Eventually(func() (int, error) {
				an, err := pl.de.caller.Submit(ctx, pl.de.gateways()[i%2], largeJob(i), largeJobItems, largeJobEvents)

				return an.Status, err
			}, acceptWithin, "50ms").Should(BeNumerically("<", http.StatusMultipleChoices))
		}
		for i := range largeJobs {
			Eventually(func() error { return pl.checkLargeJob(ctx, pl.de.gateways()[0], i) }, filledWithin, "200ms").Should(Succeed())
		}
		ginkgo.GinkgoWriter.Println("the jobs were complete after", time.Since(began))
		stores := pl.processes(program.RoleStore)
		leads := map[*process]int{}
		for _, pr := range stores {
			leads[pr] = len(pr.termsLed())
		}

		pl.acked = time.Now()
		pl.loseAllPower(stores[0], stores[1])

		next := map[string]int{} // the first job that a gateway has not returned yet
		var mu sync.Mutex
		pl.awaitEach(pl.de.gateways(), "all jobs are read", func(ip string) bool {
			mu.Lock()
			i := next[ip]
			mu.Unlock()
			for i < largeJobs && pl.checkLargeJob(ctx, ip, i) == nil {
				i++
			}
			mu.Lock()
			defer mu.Unlock()
			next[ip] = i

			return i == largeJobs
		})
		time.Sleep(time.Until(pl.started.Add(leaderWatch)))
		terms := map[uint64]string{}
		for _, pr := range stores {
			for _, term := range pr.termsLed()[leads[pr]:] {
				terms[term] = pr.settings.Name
			}
		}
		ginkgo.GinkgoWriter.Println("leaders of the stores after the start, by term:", terms)
		Expect(terms).NotTo(BeEmpty())
		Expect(len(terms)-1).To(BeNumerically("<=", maxLeaderChanges), "%v", terms)
		for _, pr := range pl.de.processes {
			Expect(pr.unexpectedExits()).To(BeEmpty())
		}
	})
})

func largeJob(i int) string { return fmt.Sprint("large", i) }

// checkLargeJob returns an error unless a gateway returns a job with all of its results.
func (pl *powerLoss) checkLargeJob(ctx context.Context, gateway string, i int) error {
	read := map[string]bool{}
	for len(read) < largeJobItems {
		pa, status, err := pl.de.caller.ReadAfter(ctx, gateway, largeJob(i), len(read))
		switch {
		case err != nil:
			return err
		case status != http.StatusOK || len(pa.Results) == 0:
			return fmt.Errorf("job %d: status %d, %d results", i, status, len(read))
		}
		for k := range pa.Results {
			if err := pa.Results[k].Check(largeJobEvents); err != nil {
				return err
			}
			read[pa.Results[k].ID] = true
		}
	}

	return nil
}

// termsLed returns the terms in which the process led its group, from its log.
func (pr *process) termsLed() []uint64 {
	f, err := os.Open(pr.logFile())
	Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	var out []uint64
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		var line struct {
			Message string `json:"message"`
			Fields  struct {
				Role string `json:"role"`
				Term uint64 `json:"term"`
			} `json:"fields"`
		}
		if json.Unmarshal(sc.Bytes(), &line) == nil && line.Message == "leadership changed" && line.Fields.Role == consensus.RoleLeader.String() {
			out = append(out, line.Fields.Term)
		}
	}
	Expect(sc.Err()).NotTo(HaveOccurred())

	return out
}
