package machine_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/machine"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/suite"
	"github.com/tamarackbay/tamarackbay/internal/weights"
)

func TestSuite(t *testing.T) { suite.Run(t, "machine") }

var _ = ginkgo.Describe("the state machine of controllers and stores", func() {
	apply := func(ma *machine.Machine, index uint64, kind machine.Kind, body any) error {
		b, err := machine.Encode(kind, body)
		Expect(err).NotTo(HaveOccurred())
		machine.Stamp(b, int64(index)*1000)

		return machine.DecodeReply(ma.Apply(index, b), nil)
	}
	commands := []struct {
		kind machine.Kind
		body any
	}{
		{machine.KindPutRouting, routing.Put{Config: routing.Config{Version: 4, Services: []routing.Service{{Name: "s"}}}, Document: []byte("{}")}},
		{machine.KindNameVersion, weights.Name{Model: "m", Version: 3}},
		{machine.KindAnnounceMember, roster.Announce{Member: roster.Member{Name: "a", Replica: "a-1", Address: "x"}}},
		{machine.KindFormStores, roster.Form{Replicas: []consensus.ReplicaID{"a-1"}}},
		{machine.KindSubmitJob, job.Submit{Spec: job.Spec{ID: "j", Workspace: "w", Items: []job.Item{{ID: "i", Body: []byte("B")}, {ID: "k"}}}}},
		{machine.KindNoteProgress, job.Progress{Parts: []job.Part{{Job: "j", Item: 0, First: true, Text: job.Partial{Events: []string{"e"}, Last: 1, Term: 2}}}}},
		{machine.KindListResults, job.List{Job: "j", Results: []job.Result{{Item: 1, State: job.Completed, Text: "t", Versions: []uint64{3}}}}},
	}

	ginkgo.It("is equal after a snapshot and applies further commands alike", func() {
		ma := machine.New()
		for i, c := range commands {
			Expect(apply(ma, uint64(i+1), c.kind, c.body)).To(Succeed())
		}
		b, err := ma.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		re, err := machine.Restore(b)
		Expect(err).NotTo(HaveOccurred())

		Expect(re.Applied()).To(Equal(ma.Applied()))
		Expect(re.Routing().Snapshot()).To(Equal(ma.Routing().Snapshot()))
		Expect(re.Versions().All()).To(Equal(map[string]uint64{"m": 3}))
		Expect(re.Roster().Snapshot()).To(Equal(ma.Roster().Snapshot()))
		Expect(re.Jobs().Jobs()).To(Equal(ma.Jobs().Jobs()))

		for _, m := range []*machine.Machine{ma, re} {
			Expect(apply(m, 20, machine.KindListResults, job.List{Job: "j", Results: []job.Result{
				{Item: 1, State: job.Aborted}, {Item: 0, State: job.Completed, Text: "u"},
			}})).To(Succeed())
			Expect(apply(m, 21, machine.KindEndJob, job.End{Job: "j", Workspace: "w"})).To(Succeed())
			Expect(apply(m, 22, machine.KindPutRouting, routing.Put{Config: routing.Config{Version: 4}})).To(Succeed())
		}
		Expect(re.Jobs().Jobs()).To(Equal(ma.Jobs().Jobs()))
		Expect(re.Jobs().Jobs()["j"].Results).To(HaveLen(2))
		Expect(re.Routing().Config().Services).To(HaveLen(1), "a configuration of the same version is not replaced")
	})

	ginkgo.It("returns an error for a command on an unknown job or VM", func() {
		ma := machine.New()
		for _, c := range []struct {
			kind machine.Kind
			body any
		}{
			{machine.KindEndJob, job.End{Job: "none", Workspace: "w"}},
			{machine.KindRetireMember, roster.Retire{Name: "none", Keep: 3}},
		} {
			Expect(apply(ma, 1, c.kind, c.body)).NotTo(Succeed())
		}
	})
})
