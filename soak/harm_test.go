package soak_test

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/program"
)

// harm is a fault of one process that a test injects at a chosen time.
type harm struct {
	name, role string
	begin, end func(de *deployment, pr *process)
}

// harms lists the faults that keep a process from learning of a change.
var harms = []harm{
	freeze(program.RoleController), freeze(program.RoleStore), freeze(program.RoleGateway),
	cutOff(program.RoleController), cutOff(program.RoleStore), cutOff(program.RoleGateway),
}

func freeze(role string) harm {
	return harm{
		"frozen", role, func(_ *deployment, pr *process) { Expect(pr.signal(syscall.SIGSTOP)).To(Succeed()) },
		func(_ *deployment, pr *process) { Expect(pr.signal(syscall.SIGCONT)).To(Succeed()) },
	}
}

func cutOff(role string) harm {
	set := func(li linkFault) func(de *deployment, pr *process) {
		return func(de *deployment, pr *process) {
			var ps []pair
			for _, ip := range de.caller.ControllerIPs {
				if ip != pr.ip {
					ps = append(ps, pair{pr.ip, ip}, pair{ip, pr.ip})
				}
			}
			de.network.setFault(li, ps...)
		}
	}

	return harm{"cut off from the controllers", role, set(linkFault{isCut: true, isMuted: true}), set(linkFault{})}
}

// targets returns the processes to harm in turn: all that may lead a group, and one gateway.
func (ha *harm) targets(de *deployment) []*process {
	var out []*process
	for _, pr := range de.processes {
		if pr.role == ha.role && (pr.role != program.RoleGateway || len(out) == 0) {
			out = append(out, pr)
		}
	}

	return out
}

// startLoaded starts a deployment and sends lookups to each gateway until ctx ends.
func startLoaded(ctx context.Context, wg *sync.WaitGroup, cfg Config) *deployment {
	cfg.Binary = binary
	cfg.Defaults()
	Expect(makeFolders(&cfg)).To(Succeed())
	de, err := newDeployment(ctx, &cfg)
	Expect(err).NotTo(HaveOccurred())
	for _, gw := range de.gateways() {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				go func() { _, _ = de.caller.Lookup(ctx, gw, fmt.Sprintf("%s-%d", gw, i), false) }()
				time.Sleep(evacuationLoad)
			}
		})
	}

	return de
}
