package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

var _ = Describe("trials of suspects", func() {
	suspects := func(fps ...string) *quarantine.State {
		st := quarantine.NewState(nil, nil)
		st.Crash(quarantine.Crash{Server: "first", Fingerprints: fps, Service: "s"}, 0)

		return st
	}
	trial := func(fp, server string, servers int) quarantine.Trial {
		return quarantine.Trial{Fingerprint: fp, Server: server, Service: "s", Servers: servers, RunMs: 1000}
	}
	crash := func(fp, server string) quarantine.Crash {
		return quarantine.Crash{Server: server, Fingerprints: []string{fp}, WereSuspects: true, Service: "s"}
	}
	grant := func(st *quarantine.State, tr quarantine.Trial, atMs int64) bool {
		rep, _ := st.Trial(tr, atMs)
		if !rep.IsGranted {
			Expect(rep.RetryAfterMs).To(BeNumerically(">", 0))
		}

		return rep.IsGranted
	}

	It("run one at a time on a backend server, one of a fingerprint, and on half of a service", func() {
		st := suspects("x", "y", "z")
		Expect(grant(st, trial("clear", "a", 4), 1)).To(BeTrue())
		Expect(grant(st, trial("x", "a", 4), 1)).To(BeTrue())
		Expect(grant(st, trial("x", "a", 4), 1)).To(BeTrue(), "asked again after a lost reply")
		Expect(grant(st, trial("x", "b", 4), 1)).To(BeFalse())
		Expect(grant(st, trial("y", "a", 4), 1)).To(BeFalse())
		Expect(grant(st, trial("y", "b", 3), 1)).To(BeFalse())
		Expect(grant(st, trial("y", "b", 4), 1)).To(BeTrue())
		Expect(grant(st, trial("z", "c", 4), 1)).To(BeFalse())
		Expect(st.EndTrial(quarantine.EndTrial{Fingerprint: "y", Server: "other"})).To(BeFalse())
		Expect(st.EndTrial(quarantine.EndTrial{Fingerprint: "y", Server: "b"})).To(BeTrue())
		Expect(grant(st, trial("z", "c", 4), 1)).To(BeTrue())
		other := trial("y", "d", 1)
		other.Service = "other"
		Expect(grant(st, other, 1)).To(BeTrue())
	})

	It("pause while the backend servers that suspects crashed are missing", func() {
		st := suspects("x", "y", "z")
		Expect(grant(st, trial("x", "a", 3), 1)).To(BeTrue())
		st.Crash(crash("x", "a"), 100)
		rep, _ := st.Trial(trial("y", "b", 2), 200)
		Expect(rep).To(Equal(quarantine.TrialReply{RetryAfterMs: 4900, IsServiceSpent: true}))
		completed := trial("z", "b", 2)
		completed.HasCompleted = true
		Expect(grant(st, completed, 200)).To(BeTrue(), "it has completed before")
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "z"}, 201)
		Expect(grant(st, trial("y", "b", 7), 200)).To(BeTrue(), "a larger service can spare two")
		Expect(grant(st, trial("x", "b", 7), 200)).To(BeFalse(), "refused")
	})

	It("count a crash whose report was lost, and put a reported one down to the suspect alone", func() {
		st := suspects("x", "y")
		Expect(grant(st, trial("x", "a", 3), 1)).To(BeTrue())
		_, isExplained := st.Crash(quarantine.Crash{Server: "a", Fingerprints: []string{"sound"}, Service: "s"}, 50)
		Expect(isExplained).To(BeTrue())
		st.Crash(crash("x", "a"), 51)
		_, isExplained = st.Crash(quarantine.Crash{Server: "a", Fingerprints: []string{"late"}, Service: "s"}, 52)
		Expect(isExplained).To(BeTrue())
		Expect(st.Entries()).To(HaveLen(2))

		Expect(grant(st, trial("y", "b", 3), 6000)).To(BeTrue())
		Expect(st.Entries()["y"].Crashes).To(HaveLen(1))
		Expect(grant(st, trial("y", "c", 3), 9000)).To(BeTrue(), "the run of 1 s has ended without a report")
		Expect(st.Entries()["y"].Crashes).To(Equal([]string{"first", "b"}))
		st.Crash(crash("y", "c"), 9001)
		Expect(st.Entries()["y"].Verdict(9002)).To(Equal(quarantine.Refused))
	})

	// Guards against a request that is held back although it was served before: at its only trial
	// another request, which was not known yet, crashed the backend server.
	It("refuse a request that completed before at the second of its own crashes, and don't explain others by it", func() {
		st := quarantine.NewState(nil, nil)
		served := func(server string, isSuspect bool) quarantine.Crash {
			return quarantine.Crash{Server: server, Fingerprints: []string{"x"}, WereSuspects: isSuspect, HasCompleted: true, Service: "s"}
		}
		st.Crash(served("a", false), 0)
		Expect(st.Entries()["x"].Verdict(1)).To(Equal(quarantine.Clear))
		st.Crash(served("b", false), 10)
		st.Crash(served("c", false), 20)
		Expect(grant(st, trial("x", "d", 3), 30)).To(BeTrue())
		_, isExplained := st.Crash(quarantine.Crash{Server: "d", Fingerprints: []string{"beside"}, Service: "s"}, 40)
		Expect(isExplained).To(BeFalse())
		st.Crash(served("d", true), 41)
		_, isExplained = st.Crash(quarantine.Crash{Server: "d", Fingerprints: []string{"late"}, Service: "s"}, 42)
		Expect(isExplained).To(BeFalse())
		Expect(st.Entries()["x"].Verdict(43)).To(Equal(quarantine.Suspect))
		for _, fp := range []string{"beside", "late"} {
			Expect(st.Entries()[fp].Verdict(43)).To(Equal(quarantine.Suspect))
		}
		completed := trial("x", "e", 3)
		completed.HasCompleted = true
		Expect(grant(st, completed, 43)).To(BeTrue())
		st.Crash(served("e", true), 50)
		Expect(st.Entries()["x"].RefusedUntilMs()).To(Equal(int64(30_050)))
		Expect(st.Entries()["x"].Verdict(30_049)).To(Equal(quarantine.Refused))
		Expect(grant(st, trial("x", "f", 3), 30_051)).To(BeTrue())
		st.Crash(served("f", true), 30_060)
		Expect(st.Entries()["x"].RefusedUntilMs()).To(Equal(int64(30_060 + 5*60_000)))
	})

	// Guards against a service that ends because many requests crash it: forty of them, among five
	// sound ones, are asked for every 20 ms at a service of three backend servers that are back after 3 s.
	It("cost a small service one backend server in a recovery period", func() {
		var fps []string
		for i := range 40 {
			fps = append(fps, fmt.Sprint("crashing ", i))
		}
		for i := range 5 {
			fps = append(fps, fmt.Sprint("sound ", i))
		}
		st, rnd := suspects(fps...), rand.New(rand.NewPCG(1, 2))
		down, incarnation := map[int]int64{}, 0
		crashes, runs := []int64{}, map[string]int{}
		for at := int64(0); at < 120_000; at += 20 {
			server, fp := rnd.IntN(3), fps[rnd.IntN(len(fps))]
			if at < down[server] {
				continue
			}
			ready := 0
			for i := range 3 {
				if at >= down[i] {
					ready++
				}
			}
			if st.Entries()[fp].Verdict(at) != quarantine.Suspect || !grant(st, trial(fp, fmt.Sprint(server, "/", incarnation), ready), at) {
				continue
			}
			if strings.HasPrefix(fp, "sound") {
				st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: fp}, at+20)

				continue
			}
			runs[fp]++
			crashes = append(crashes, at)
			st.Crash(crash(fp, fmt.Sprint(server, "/", incarnation)), at+20)
			down[server] = at + 3000
			incarnation++
		}
		for i := 1; i < len(crashes); i++ {
			Expect(crashes[i] - crashes[i-1]).To(BeNumerically(">=", quarantine.RecoveryPeriod.Milliseconds()))
		}
		for fp, n := range runs {
			Expect(n).To(BeNumerically("<=", 3), fp)
		}
	})
})
