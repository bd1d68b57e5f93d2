package quarantine_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/quarantine"
)

var _ = Describe("the quarantine state", func() {
	crash := func(server string, wereSuspects bool, fps ...string) quarantine.Crash {
		return quarantine.Crash{Server: server, Fingerprints: fps, WereSuspects: wereSuspects}
	}
	cases := []struct {
		name    string
		crashes []quarantine.Crash
		want    quarantine.Verdict
	}{
		{"one crash", []quarantine.Crash{crash("s1", false, "x", "y")}, quarantine.Suspect},
		{"one crash reported twice", []quarantine.Crash{crash("s1", false, "x"), crash("s1", false, "x")}, quarantine.Suspect},
		{"many crashes, none as the only suspect", []quarantine.Crash{crash("s1", false, "x", "y"), crash("s2", false, "x", "z"), crash("s3", false, "x")}, quarantine.Suspect},
		{"a second crash as the only suspect", []quarantine.Crash{crash("s1", false, "x", "y"), crash("s2", true, "x")}, quarantine.Refused},
		{"two crashes, at the second with a suspect of another gateway", []quarantine.Crash{crash("s1", false, "x", "y"), crash("s2", true, "x"), crash("s2", true, "y")}, quarantine.Suspect},
		{"three crashes at which the suspect of another gateway was there too", []quarantine.Crash{crash("s1", true, "y"), crash("s1", true, "x"), crash("s2", true, "x"), crash("s2", true, "y"), crash("s3", true, "y"), crash("s3", true, "x")}, quarantine.Suspect},
		{"a crash alone after two with another suspect", []quarantine.Crash{crash("s1", true, "y"), crash("s1", true, "x"), crash("s2", true, "x")}, quarantine.Refused},
		{"a run that got further than those at the crashes before", []quarantine.Crash{crash("s1", false, "x"), {Server: "s2", Fingerprints: []string{"x"}, WereSuspects: true, LastEvent: 4}}, quarantine.Suspect},
		{"crashes at the same event of a stream", []quarantine.Crash{{Server: "s1", Fingerprints: []string{"x"}, LastEvent: 4}, {Server: "s2", Fingerprints: []string{"x"}, WereSuspects: true, LastEvent: 4}}, quarantine.Refused},
		{"one crash after it has completed", []quarantine.Crash{{Server: "s1", Fingerprints: []string{"x"}, HasCompleted: true}}, quarantine.Clear},
		{"two crashes after it has completed", []quarantine.Crash{{Server: "s1", Fingerprints: []string{"x"}, HasCompleted: true}, crash("s2", false, "x")}, quarantine.Suspect},
		{"a completion that only the report of its second crash tells of", []quarantine.Crash{crash("s1", false, "x"), {Server: "s1", Fingerprints: []string{"x"}, HasCompleted: true}}, quarantine.Suspect},
		{"a crash at which only another fingerprint was in flight", []quarantine.Crash{crash("s1", false, "y")}, quarantine.Clear},
	}
	for _, tc := range cases {
		It("returns the verdict on a fingerprint after "+tc.name, func() {
			st := quarantine.NewState(nil, nil)
			for _, c := range tc.crashes {
				st.Crash(c, 1)
			}
			Expect(st.Entries()["x"].Verdict(1)).To(Equal(tc.want))
		})
	}

	It("clears a suspect that completes, keeps a refused fingerprint, and releases it on request", func() {
		st := quarantine.NewState(nil, nil)
		st.Crash(crash("s1", false, "x", "y"), 1)
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "y"}, 1)
		Expect(st.Entries()).NotTo(HaveKey("y"))
		st.Crash(crash("s2", true, "x"), 1)
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "x"}, 1)
		Expect(st.Entries()["x"].Verdict(1)).To(Equal(quarantine.Refused))
		Expect(st.Release(quarantine.Release{Fingerprint: "x"})).To(BeTrue())
		Expect(st.Entries()["x"].Verdict(1)).To(Equal(quarantine.Clear))
		Expect(st.Release(quarantine.Release{Fingerprint: "none"})).To(BeFalse())
	})

	It("ends a refusal, and refuses for longer after each further crash", func() {
		st := quarantine.NewState(nil, nil)
		st.Crash(crash("s1", false, "x"), 0)
		at := int64(0)
		for i, refusedMs := range []int64{30_000, 300_000, 3_600_000} {
			st.Crash(crash(fmt.Sprint("next", i), true, "x"), at)
			Expect(st.Entries()["x"].Verdict(at + refusedMs - 1)).To(Equal(quarantine.Refused))
			at += refusedMs
			Expect(st.Entries()["x"].Verdict(at)).To(Equal(quarantine.Suspect))
		}
	})

	It("clears a fingerprint that completes after its refusal by the sender's clock, unless it crashed again", func() {
		st := quarantine.NewState(nil, nil)
		st.Crash(crash("s1", false, "x"), 1)
		st.Crash(crash("s2", true, "x"), 1)
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "x", Crashes: 1}, 2)
		Expect(st.Entries()).To(HaveKey("x"))
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "x", Crashes: 2}, 2)
		Expect(st.Entries()).To(BeEmpty())
	})

	It("holds a bounded number of crashes of a fingerprint, and drops fingerprints after a day", func() {
		st := quarantine.NewState(nil, nil)
		for i := range 50 {
			st.Crash(crash(fmt.Sprint(i), i%2 == 0, "x"), 1)
		}
		Expect(st.Entries()["x"].Crashes).To(HaveLen(8))
		changed, _ := st.Crash(crash("s", false, "y"), 2+24*60*60*1000)
		Expect(changed).To(ConsistOf("x", "y"))
		Expect(st.Entries()).To(HaveLen(1))
	})
})
