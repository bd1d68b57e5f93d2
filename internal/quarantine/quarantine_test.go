package quarantine_test

import (
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
		{"a crash at which only another fingerprint was in flight", []quarantine.Crash{crash("s1", false, "y")}, quarantine.Clear},
	}
	for _, tc := range cases {
		It("returns the verdict on a fingerprint after "+tc.name, func() {
			st := quarantine.NewState(nil)
			for _, c := range tc.crashes {
				st.Crash(c, 1)
			}
			Expect(st.Entries()["x"].Verdict()).To(Equal(tc.want))
		})
	}

	It("clears a suspect that completes, keeps a refused fingerprint, and releases it on request", func() {
		st := quarantine.NewState(nil)
		st.Crash(crash("s1", false, "x", "y"), 1)
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "y"})
		Expect(st.Entries()).NotTo(HaveKey("y"))
		st.Crash(crash("s2", true, "x"), 1)
		st.ClearSuspect(quarantine.ClearSuspect{Fingerprint: "x"})
		Expect(st.Entries()["x"].Verdict()).To(Equal(quarantine.Refused))
		Expect(st.Release(quarantine.Release{Fingerprint: "x"})).To(BeTrue())
		Expect(st.Entries()["x"].Verdict()).To(Equal(quarantine.Clear))
		Expect(st.Release(quarantine.Release{Fingerprint: "none"})).To(BeFalse())
	})
})
