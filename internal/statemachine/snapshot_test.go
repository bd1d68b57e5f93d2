package statemachine_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"testing/iotest"

	"github.com/fxamacker/cbor/v2"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/internal/consensus"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/departure"
	"github.com/tamarackbay/tamarackbay/internal/evacuation"
	"github.com/tamarackbay/tamarackbay/internal/idempotency"
	"github.com/tamarackbay/tamarackbay/internal/intent"
	"github.com/tamarackbay/tamarackbay/internal/job"
	"github.com/tamarackbay/tamarackbay/internal/lease"
	"github.com/tamarackbay/tamarackbay/internal/quarantine"
	"github.com/tamarackbay/tamarackbay/internal/registry"
	"github.com/tamarackbay/tamarackbay/internal/result"
	"github.com/tamarackbay/tamarackbay/internal/roster"
	"github.com/tamarackbay/tamarackbay/internal/routing"
	"github.com/tamarackbay/tamarackbay/internal/statemachine"
	"github.com/tamarackbay/tamarackbay/internal/step"
	"github.com/tamarackbay/tamarackbay/internal/usage"
	"github.com/tamarackbay/tamarackbay/internal/weights"
)

// stateCommand is a command of a test; some are refused, which the state must not depend on.
type stateCommand struct {
	kind statemachine.Kind
	body any
}

// commandsOf returns commands of each domain. Those of two rounds have different IDs, and those of the
// second round meet the state of the first.
func commandsOf(round int) []stateCommand {
	id := func(name string, i int) string { return fmt.Sprintf("%s-%d-%d", name, round, i) }
	var out []stateCommand
	add := func(kind statemachine.Kind, body any) { out = append(out, stateCommand{kind, body}) }
	add(statemachine.KindAcquireLease, lease.Acquire{Name: statemachine.UsageLease, Holder: "h", SeenFencing: uint64(round), SeenRenewal: uint64(round), Nonce: id("n", 0)})
	for i := range 12 {
		add(statemachine.KindPatch, declaration.Patch{ID: id("p", i), Base: uint64(12*round + i), Author: "o", Ops: []declaration.Op{{
			Path: "workspaces/" + id("w", i), Value: json.RawMessage(`{"weight":2,"maxQueued":10,"home":"main"}`),
		}}})
		add(statemachine.KindAcquireLease, lease.Acquire{Name: id("l", i), Holder: "h", Nonce: "n"})
		add(statemachine.KindOpenIntent, intent.Open{Intent: intent.Intent{ID: id("o", i), Lease: id("l", i), Fencing: 1}})
		add(statemachine.KindOpenStep, step.OpenStep{Step: step.Step{ID: id("s", i), Workspace: "w", Trainer: "t", DeadlineMs: 1 << 40}})
		add(statemachine.KindBeginCall, idempotency.Begin{Key: id("c", i), Digest: "d", Owner: "o"})
		add(statemachine.KindAddUsage, usage.AddCounters{Counters: []usage.Counter{{Agent: id("a", i), Workspace: id("w", i), Window: uint64(i % 3)}}})
		add(statemachine.KindRecordCrash, quarantine.Crash{Server: id("b", i), Fingerprints: []string{id("f", i), "f"}, Service: "s"})
		add(statemachine.KindRegister, statemachine.Registration{Replica: consensus.ReplicaID(id("r", i)), Address: "x"})
		add(statemachine.KindRecordVersion, weights.VersionRecord{Model: id("m", i), Version: 3})
		add(statemachine.KindAnnounceMember, roster.Announce{Member: roster.Member{Name: id("v", i), Address: "x"}})
		add(statemachine.KindSubmitJob, job.Submit{Spec: job.Spec{ID: id("j", i), Workspace: "w", Items: []job.Item{
			{ID: "0", Body: []byte("B"), Headers: []job.Header{{Name: "n", Value: "v"}}}, {ID: "1", Body: []byte{}, Headers: []job.Header{}}, {ID: "2", Reward: &job.Reward{}},
		}[:i%4]}})
		for item := range 3 {
			add(statemachine.KindRecordProgress, job.Progress{Parts: []job.Part{{Job: id("j", i), Item: item, IsFirst: true, Text: job.Partial{Events: []string{"e"}, LastEvent: 1, Term: 2}}}})
		}
		add(statemachine.KindChangeEvacuation, evacuation.Change{FailureDomain: id("d", i)})
		add(statemachine.KindRecordDeparture, departure.Record{Server: registry.Record{ID: id("b", i), BornMs: 7}, HasLeft: i%2 == 0})
	}
	for i := range 4 {
		add(statemachine.KindSettleIntent, intent.Settle{ID: id("o", i), Lease: id("l", i), Fencing: 1, Outcome: "done"})
		add(statemachine.KindEndCall, idempotency.End{Key: id("c", i), Owner: "o", Status: 200})
		add(statemachine.KindAbandonCall, idempotency.Abandon{Key: id("c", i+4), Owner: "o"})
		add(statemachine.KindClearSuspect, quarantine.ClearSuspect{Fingerprint: id("f", i)})
		add(statemachine.KindReleaseQuarantine, quarantine.Release{Fingerprint: id("f", i+4)})
		add(statemachine.KindListResults, job.ListResults{Job: id("j", i), Results: []job.Result{{Item: 0, State: job.Completed, Text: "t", Versions: []uint64{3}}, {Item: 1, State: job.Aborted}}})
		add(statemachine.KindRecordProgress, job.Progress{Parts: []job.Part{{Job: id("j", i+4), Item: 2, After: 1, Text: job.Partial{LastEvent: 1, Term: 2}}}})
		add(statemachine.KindEndJob, job.End{Job: id("j", i), Workspace: "w"})
		add(statemachine.KindReleaseLease, lease.Release{Name: id("l", i), Fencing: 1})
		add(statemachine.KindChangeEvacuation, evacuation.Change{FailureDomain: id("d", i), IsWithdrawn: true})
	}
	add(statemachine.KindCloseWindow, usage.Close{Window: uint64(round), Fencing: uint64(round + 1)})
	add(statemachine.KindMarkReported, usage.MarkReported{Window: uint64(round), Fencing: uint64(round + 1)})
	add(statemachine.KindFormStores, roster.Form{Replicas: []consensus.ReplicaID{"a-1"}})
	add(statemachine.KindPutRouting, routing.Put{Config: routing.Config{Version: uint64(round + 1), Services: []routing.Service{{Name: "s"}}}, Document: []byte("{}")})

	return out
}

// applyAll applies commands after the entry at index; the time of each entry is 10 s after the one before.
func applyAll(ma *statemachine.Machine, index uint64, commands []stateCommand) (last uint64, accepted int) {
	for _, c := range commands {
		b, err := statemachine.Encode(c.kind, c.body)
		Expect(err).NotTo(HaveOccurred())
		index++
		statemachine.Stamp(b, int64(index)*10_000)
		if statemachine.DecodeReply(ma.Apply(index, b), nil) == nil {
			accepted++
		}
	}

	return index, accepted
}

func snapshotOf(ma *statemachine.Machine) []byte {
	b, err := ma.Snapshot()
	Expect(err).NotTo(HaveOccurred())

	return b
}

var _ = ginkgo.Describe("a snapshot of the state", func() {
	restores := []struct {
		name    string
		restore func(data []byte) (*statemachine.Machine, error)
	}{
		{"from a stream", func(data []byte) (*statemachine.Machine, error) {
			return statemachine.RestoreFrom(bytes.NewReader(data))
		}},
		{"from a stream that comes byte by byte", func(data []byte) (*statemachine.Machine, error) {
			return statemachine.RestoreFrom(iotest.OneByteReader(bytes.NewReader(data)))
		}},
		{"by a program that decodes it as one item", statemachine.RestoreWhole},
		{"from the encoding of a program that encodes it as one item", func(data []byte) (*statemachine.Machine, error) {
			b, err := statemachine.EncodeWhole(data)
			Expect(err).NotTo(HaveOccurred())
			var fields map[int]cbor.RawMessage
			Expect(cbor.Unmarshal(b, &fields)).To(Succeed())
			Expect(fields).To(HaveKey(15))

			return statemachine.RestoreFrom(bytes.NewReader(b))
		}},
	}

	ginkgo.It("is the same bytes on all replicas, whether they applied all commands or restored a snapshot between them", func() {
		for rounds := range 3 {
			ma := statemachine.New()
			index := uint64(0)
			for round := range rounds {
				var accepted int
				index, accepted = applyAll(ma, index, commandsOf(round))
				Expect(accepted).To(BeNumerically(">", 200))
				Expect(ma.Configuration().Version()).To(BeEquivalentTo(12 * (round + 1)))
				Expect(ma.Leases().Get(statemachine.UsageLease).Fencing).To(BeEquivalentTo(round + 1))
			}
			data := snapshotOf(ma)
			for range 5 {
				Expect(snapshotOf(ma)).To(Equal(data), "the encoding of the same state differs")
			}
			var restored []*statemachine.Machine
			for _, tc := range restores {
				re, err := tc.restore(data)
				Expect(err).NotTo(HaveOccurred(), tc.name)
				Expect(bytes.Equal(snapshotOf(re), data)).To(BeTrue(), "%s after %d rounds", tc.name, rounds)
				restored = append(restored, re)
			}

			applyAll(ma, index, commandsOf(rounds))
			want := snapshotOf(ma)
			for i, re := range restored {
				applyAll(re, index, commandsOf(rounds))
				Expect(bytes.Equal(snapshotOf(re), want)).To(BeTrue(), "%s after %d rounds and further commands", restores[i].name, rounds)
			}
		}
	})

	// Guards against a state that a replica stores and can't read again.
	ginkgo.It("is restored with more jobs than the decoder of whole items takes", func() {
		const jobs = 131_073                       // the limit of pairs is 131,072
		data := []byte{0xa1, 15, 0xba, 0, 2, 0, 1} // one field, the jobs
		encoded, err := cbor.Marshal(job.Job{Spec: job.Spec{Workspace: "w"}})
		Expect(err).NotTo(HaveOccurred())
		for i := range jobs {
			id, err := cbor.Marshal(fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			data = append(append(data, id...), encoded...)
		}
		restored, err := statemachine.Restore(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Jobs().Jobs()).To(HaveLen(jobs))
	})

	ginkgo.It("is due after the same entries on all replicas, wherever they restored a snapshot", func() {
		const entries, jobBytes = 2*statemachine.SnapshotEntries + 10, 3 << 20
		small, err := statemachine.Encode(statemachine.KindRecordVersion, weights.VersionRecord{Model: "m", Version: 3})
		Expect(err).NotTo(HaveOccurred())
		large := make([]byte, jobBytes) // an unknown command counts too
		step := func(ma *statemachine.Machine, index uint64) {
			switch {
			case index%7 == 0:
				ma.Skip(index)
			case index%997 == 0:
				ma.Apply(index, large)
			default:
				ma.Apply(index, small)
			}
		}
		due := func(ma *statemachine.Machine) (out []uint64) {
			for index := ma.Applied() + 1; index <= entries; index++ {
				step(ma, index)
				if ma.IsSnapshotDue() {
					out = append(out, index)
				}
			}

			return out
		}
		want := due(statemachine.New())
		Expect(want).To(ContainElements(uint64(statemachine.SnapshotEntries), uint64(2*statemachine.SnapshotEntries)))
		Expect(len(want)).To(BeNumerically(">=", entries/997*jobBytes/statemachine.SnapshotBytes))
		for _, at := range []uint64{1, 996, 997, 4000, want[0] - 1, want[0], want[0] + 1, 19_999, 20_000, 20_001} {
			ma := statemachine.New()
			for index := range at {
				step(ma, index+1)
			}
			re, err := statemachine.Restore(snapshotOf(ma))
			Expect(err).NotTo(HaveOccurred())
			rest := slices.DeleteFunc(slices.Clone(want), func(index uint64) bool { return index <= at })
			Expect(due(re)).To(Equal(rest), "restored at %d", at)
		}

		// A version that did not count has restored the snapshot and written it again.
		ma := statemachine.New()
		for index := range uint64(5000) {
			step(ma, index+1)
		}
		var fields map[int]cbor.RawMessage
		Expect(cbor.Unmarshal(snapshotOf(ma), &fields)).To(Succeed())
		Expect(fields).To(HaveKey(19))
		delete(fields, 19)
		b, err := cbor.Marshal(fields)
		Expect(err).NotTo(HaveOccurred())
		re, err := statemachine.Restore(b)
		Expect(err).NotTo(HaveOccurred())
		rest := slices.DeleteFunc(slices.Clone(want), func(index uint64) bool { return index < statemachine.SnapshotEntries })
		Expect(slices.DeleteFunc(due(re), func(index uint64) bool { return index < statemachine.SnapshotEntries })).To(Equal(rest))
	})

	ginkgo.It("is refused when it is cut off, or when more follows", func() {
		ma := statemachine.New()
		applyAll(ma, 0, commandsOf(0))
		data := snapshotOf(ma)
		for n := 0; n < len(data); n += 7 {
			_, err := statemachine.RestoreFrom(bytes.NewReader(data[:n]))
			Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%d bytes: %v", n, err)
		}
		_, err := statemachine.RestoreFrom(io.MultiReader(bytes.NewReader(data), strings.NewReader("\x00")))
		Expect(result.Is(err, result.DataFolderDamaged)).To(BeTrue(), "%v", err)
	})

	ginkgo.It("that can't be read fails with the error of the reader, which is none of the data", func() {
		ma := statemachine.New()
		applyAll(ma, 0, commandsOf(0))
		data := snapshotOf(ma)
		refused := errors.New("the disk refuses")
		for n := 0; n < len(data); n += 97 {
			_, err := statemachine.RestoreFrom(io.MultiReader(bytes.NewReader(data[:n]), iotest.ErrReader(refused)))
			Expect(err).To(BeIdenticalTo(refused), "%d bytes", n)
		}
	})

	ginkgo.It("is encoded and restored without a copy of the whole", func() {
		const (
			jobs, jobBytes = 96, 256 << 10 // 24 MB
			maxExtraBytes  = 3 << 20
		)
		ma := statemachine.New()
		for i := range jobs {
			applyAll(ma, uint64(i), []stateCommand{{statemachine.KindSubmitJob, job.Submit{Spec: job.Spec{
				ID: fmt.Sprint(i), Workspace: "w", Items: []job.Item{{ID: "0", Body: bytes.Repeat([]byte{byte(i)}, jobBytes)}},
			}}}})
		}
		heap := func() int64 {
			runtime.GC()
			var ms runtime.MemStats
			runtime.ReadMemStats(&ms)

			return int64(ms.HeapAlloc)
		}
		before, extra, written := heap(), int64(0), 0
		encode, err := ma.Freeze()
		Expect(err).NotTo(HaveOccurred())
		Expect(encode(writerFunc(func(b []byte) (int, error) {
			written += len(b)
			extra = max(extra, heap()-before)

			return len(b), nil
		}))).To(Succeed())
		Expect(written).To(BeNumerically(">", jobs*jobBytes))
		Expect(extra).To(BeNumerically("<", maxExtraBytes), "bytes held while the state is encoded")

		data := snapshotOf(ma)
		before, extra = heap(), 0
		r, read := bytes.NewReader(data), int64(0)
		re, err := statemachine.RestoreFrom(readerFunc(func(b []byte) (int, error) {
			n, err := r.Read(b)
			// What was read so far is the state that is being restored.
			extra = max(extra, heap()-before-read)
			read += int64(n)

			return n, err
		}))
		Expect(err).NotTo(HaveOccurred())
		Expect(re.Jobs().Jobs()).To(HaveLen(jobs))
		Expect(extra).To(BeNumerically("<", maxExtraBytes), "bytes held beside the state while it is restored")
		runtime.KeepAlive(ma)
	})
})

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
