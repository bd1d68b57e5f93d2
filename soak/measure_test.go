package soak_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tamarackbay/tamarackbay/internal/httpcall"
	"github.com/tamarackbay/tamarackbay/internal/meter"
	"github.com/tamarackbay/tamarackbay/internal/program"
)

const (
	// clockTicksPerSecond is the unit of processor time in /proc.
	clockTicksPerSecond = 100
	// metricsPort is the port on which every node serves its metrics.
	metricsPort = "9464"

	measuredLookups     = 4000
	measuredConcurrency = 8
	measuredJobs        = 20
	measuredItems       = 50
	measuredEvents      = 40
	measuredIdle        = 10 * time.Second
)

// resourceUse is the resource use of the processes of one role since their start.
type resourceUse struct {
	cpu   time.Duration // user and system
	rssMB int64         // resident memory of the largest process
	syncs int64         // of files to disk
}

// readResourceUse returns the processor time, memory and syncs of the processes of a role.
func (de *deployment) readResourceUse(role string) (resourceUse, error) {
	var out resourceUse
	for _, pr := range de.processes {
		if pr.role != role {
			continue
		}
		pid := pr.cmd.Process.Pid
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return out, err
		}
		// The name in parentheses may hold spaces; user and system time are the 12th
		// and 13th fields after it.
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		for _, s := range fields[11:13] {
			n, err := strconv.ParseInt(s, 10, 64)
			if err != nil {
				return out, err
			}
			out.cpu += time.Duration(n) * time.Second / clockTicksPerSecond
		}
		pages, err := strconv.ParseInt(fields[21], 10, 64)
		if err != nil {
			return out, err
		}
		out.rssMB = max(out.rssMB, pages*int64(os.Getpagesize())>>20)

		values, err := pr.metrics()
		if err != nil {
			return out, err
		}
		out.syncs += values["disk_syncs"]
	}

	return out, nil
}

// measure prints the resource use of each role during start, idle time, lookups and jobs, and
// how long a failover takes.
func measure(ctx context.Context, cfg Config) error {
	cfg.Defaults()
	de, err := newDeployment(ctx, &cfg)
	if err != nil {
		return err
	}
	roles := []string{program.RoleGateway, program.RoleController, program.RoleStore}
	step := func(name string, f func() error) error {
		before, bytes := map[string]resourceUse{}, de.network.forwardedBytes()
		for _, role := range roles {
			if before[role], err = de.readResourceUse(role); err != nil {
				return err
			}
		}
		began := time.Now()
		if err := f(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		took := time.Since(began)
		fmt.Printf("%s (%.1f s, %d KB between the programs)\n", name, took.Seconds(), (de.network.forwardedBytes()-bytes)>>10)
		for _, role := range roles {
			after, err := de.readResourceUse(role)
			if err != nil {
				return err
			}
			fmt.Printf("  %-10s %4d ms of processor time in total, %d syncs, largest process %d MB\n",
				role, (after.cpu - before[role].cpu).Milliseconds(), after.syncs-before[role].syncs, after.rssMB)
		}

		return nil
	}
	for _, role := range roles {
		sp, err := de.readResourceUse(role)
		if err != nil {
			return err
		}
		fmt.Printf("from the start to the first lookup served: %-10s %4d ms of processor time in total, largest process %d MB\n", role, sp.cpu.Milliseconds(), sp.rssMB)
	}
	err = step("while idle", func() error {
		time.Sleep(measuredIdle)

		return nil
	})
	if err == nil {
		err = step(fmt.Sprintf("%d lookups", measuredLookups), func() error { return de.measureLookups(ctx) })
	}
	if err == nil {
		err = step(fmt.Sprintf("%d jobs of %d items of %d events", measuredJobs, measuredItems, measuredEvents), func() error { return de.measureJobs(ctx) })
	}
	if err == nil {
		err = de.measureFailover(ctx)
	}
	if cerr := de.close(); err == nil {
		err = cerr
	}

	return err
}

// measureFailover kills the leaders of a role, and then all of its processes, and prints how
// long it takes until requests to the role succeed again.
func (de *deployment) measureFailover(ctx context.Context) error {
	version := 1
	configure := func() error {
		version++

		return de.caller.Configure(ctx, version)
	}
	jobs := 0
	submit := func() error {
		jobs++
		an, err := de.caller.Submit(ctx, de.gateways()[0], fmt.Sprintf("loss%d", jobs), 1, 1)
		if err == nil && an.Status != http.StatusAccepted {
			err = fmt.Errorf("status %d", an.Status)
		}

		return err
	}
	for _, lo := range []struct {
		role, what string
		serves     func() error
	}{
		{program.RoleController, "a configuration is accepted", configure},
		{program.RoleStore, "a job is accepted", submit},
	} {
		for _, isAll := range []bool{false, true} {
			var killed []*process
			for _, pr := range de.processes {
				if pr.role != lo.role {
					continue
				}
				values, err := pr.metrics()
				if err != nil {
					return err
				}
				if isAll || values["group_leads"] == 1 {
					killed = append(killed, pr)
				}
			}
			began := time.Now()
			for _, pr := range killed {
				if err := pr.stop(syscall.SIGKILL); err != nil {
					return err
				}
			}
			if isAll {
				for _, pr := range killed {
					if err := pr.start(); err != nil {
						return err
					}
				}
			}
			for lo.serves() != nil {
				if time.Since(began) > recoverWithin {
					return fmt.Errorf("%d processes of role %s killed: not recovered after %v, expected: %s", len(killed), lo.role, recoverWithin, lo.what)
				}
				time.Sleep(10 * time.Millisecond)
			}
			fmt.Printf("%d processes of role %s killed (all: %t): %s again after %d ms\n", len(killed), lo.role, isAll, lo.what, time.Since(began).Milliseconds())
			if !isAll {
				for _, pr := range killed {
					if err := pr.start(); err != nil {
						return err
					}
				}
			}
			time.Sleep(5 * time.Second) // enough for all processes to recover before the next kill
		}
	}

	return nil
}

// metrics returns the counters and gauges that the process serves.
func (pr *process) metrics() (map[string]int64, error) {
	return meter.Fetch(context.Background(), httpcall.NewClient("", false), net.JoinHostPort(pr.ip, metricsPort))
}

// measureLookups sends measuredLookups lookups from concurrent callers.
func (de *deployment) measureLookups(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, measuredConcurrency)
	for w := range measuredConcurrency {
		wg.Go(func() {
			for i := range measuredLookups / measuredConcurrency {
				an, err := de.caller.Lookup(ctx, de.gateways()[i%len(de.gateways())], fmt.Sprintf("m%d-%d", w, i), false)
				if err == nil && an.Status != http.StatusOK {
					err = fmt.Errorf("status %d", an.Status)
				}
				if err != nil {
					errs <- err

					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)

	return <-errs
}

// measureJobs runs measuredJobs jobs one after another.
func (de *deployment) measureJobs(ctx context.Context) error {
	gw := de.gateways()[0]
	for i := range measuredJobs {
		job := fmt.Sprintf("mj%d", i)
		an, err := de.caller.Submit(ctx, gw, job, measuredItems, measuredEvents)
		if err != nil || an.Status != http.StatusAccepted {
			return fmt.Errorf("submitting a job: status %d, %w", an.Status, err)
		}
		for done := 0; done < measuredItems; {
			pa, _, err := de.caller.Read(ctx, gw, job)
			if err != nil {
				return err
			}
			done = len(pa.Results)
			time.Sleep(readPeriod)
		}
		if _, err := de.caller.Finish(ctx, gw, job); err != nil {
			return err
		}
	}

	return nil
}
