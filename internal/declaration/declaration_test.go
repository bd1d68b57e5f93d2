package declaration_test

import (
	"encoding/json"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/tamarackbay/tamarackbay/examples"
	"github.com/tamarackbay/tamarackbay/internal/declaration"
	"github.com/tamarackbay/tamarackbay/internal/result"
)

func op(path, value string) declaration.Op {
	return declaration.Op{Path: path, Value: json.RawMessage(value)}
}

var base = []declaration.Op{
	op("workspaces/w", `{}`), op("models/m", `{"stalenessBound":2}`), op("versions/m@v1", `{"model":"m","name":"v1","sequence":1}`),
	op("classes/c", `{"model":"m"}`), op("routes/r", `{"model":"m","repeatable":true}`),
}

func newBook() *declaration.Configuration {
	co := declaration.NewConfiguration()
	an := co.Apply(declaration.Patch{ID: "base", Ops: base}, 1)
	Expect(an.Err()).NotTo(HaveOccurred())

	return co
}

var _ = Describe("a patch", func() {
	refusedPatches := []struct {
		name string
		ops  []declaration.Op
		code result.Code
		text string
	}{
		{"a patch of an unknown kind", []declaration.Op{op("colours/red", `{}`)}, result.InvalidDeclaration, "colours/red"},
		{"a patch with an invalid name", []declaration.Op{op("routes/a b", `{}`)}, result.InvalidDeclaration, "a b"},
		{"a patch with an unknown field", []declaration.Op{op("workspaces/w", `{"wieght":1}`)}, result.InvalidDeclaration, "wieght"},
		{"a patch with a weight out of range", []declaration.Op{op("workspaces/w", `{"weight":-1}`)}, result.InvalidDeclaration, "weight"},
		{"a patch of a route without a model", []declaration.Op{op("routes/r", `{}`)}, result.InvalidDeclaration, "exactly one of model and service"},
		{"a patch of a route to an unknown model", []declaration.Op{op("routes/x", `{"model":"nope"}`)}, result.InvalidDeclaration, `model "nope" does not exist`},
		{"a patch of a version whose sequence number is in use", []declaration.Op{op("versions/m@v2", `{"model":"m","name":"v2","sequence":1}`)}, result.InvalidDeclaration, "belongs to m@v1"},
		{"a patch of a version under another name", []declaration.Op{op("versions/m@x", `{"model":"m","name":"v2","sequence":2}`)}, result.InvalidDeclaration, "versions/m@v2"},
		{"a patch that deletes an object to which others refer", []declaration.Op{{Path: "models/m"}}, result.InvalidDeclaration, "does not exist"},
		{"a patch that deletes an unknown object", []declaration.Op{{Path: "models/none"}}, result.UnknownObject, "models/none"},
		{"a patch of a trainer whose staleness bound exceeds the model's", []declaration.Op{op("trainers/t", `{"workspace":"w","model":"m","stalenessBound":3}`)}, result.InvalidDeclaration, "over the model's 2"},
		{"a patch of a fleet without failure domains", []declaration.Op{op("fleet/c", `{"maxPerDomain":1}`)}, result.InvalidDeclaration, "failureDomains"},
		{"a patch of a key without a hash", []declaration.Op{op("keys/k", `{"workspace":"w","hash":"x"}`)}, result.InvalidDeclaration, "SHA-256"},
		{"a patch of a class of an unknown model", []declaration.Op{op("classes/d", `{"model":"none"}`)}, result.InvalidDeclaration, "none"},
		{"a patch whose second operation is invalid", []declaration.Op{op("workspaces/new", `{}`), op("workspaces/bad", `{"weight":0.00001}`)}, result.InvalidDeclaration, "bad"},
		{"a patch without operations", nil, result.InvalidDeclaration, "ops"},
	}
	for _, tc := range refusedPatches {
		It("is refused without any change if it is "+tc.name, func() {
			co := newBook()
			before, err := json.Marshal(co.Set())
			Expect(err).NotTo(HaveOccurred())
			an := co.Apply(declaration.Patch{ID: "p", Base: 1, Ops: tc.ops}, 2)
			Expect(an.Code).To(Equal(tc.code), an.Message)
			Expect(an.Message).To(ContainSubstring(tc.text))
			Expect(json.Marshal(co.Set())).To(Equal(before))
			Expect(co.Version()).To(Equal(uint64(1)))
		})
	}

	It("is refused with the current version and the conflicting path if its base version is old", func() {
		co := newBook()
		Expect(co.Apply(declaration.Patch{ID: "a", Base: 1, Ops: []declaration.Op{op("workspaces/w", `{"weight":2}`)}}, 2).Err()).NotTo(HaveOccurred())
		an := co.Apply(declaration.Patch{ID: "b", Base: 1, Ops: []declaration.Op{op("workspaces/w", `{"weight":3}`)}}, 3)
		Expect(an.Code).To(Equal(result.PatchVersionOld))
		Expect(an.Message).To(ContainSubstring("the current one is 2; workspaces/w changed in version 2"))
		Expect(co.Apply(declaration.Patch{ID: "b", Base: 2, Ops: base}, 4)).To(Equal(an), "the same ID gets the same answer")
	})

	It("is preserved, with the history, by a snapshot of the configuration", func() {
		co := newBook()
		co.Apply(declaration.Patch{ID: "a", Base: 1, Ops: []declaration.Op{op("workspaces/x", `{"weight":2}`)}}, 2)
		sn, err := co.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other, err := declaration.NewConfigurationFrom(sn)
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Set()).To(Equal(co.Set()))
		Expect(other.History(5)).To(Equal(co.History(5)))
		ds, ok := other.Since(1)
		Expect(ok).To(BeTrue())
		Expect(ds).To(HaveLen(1))
	})
})

var _ = Describe("a folder of declarations", func() {
	for _, name := range []string{"consortium", "cedarwick"} {
		It("contains a valid configuration in the example "+name, func() {
			set, err := declaration.ReadFolder(examples.Files, name)
			Expect(err).NotTo(HaveOccurred())
			Expect(set.Validate()).To(Succeed())
			Expect(set.Workspaces).To(HaveLen(8))
			ops, err := declaration.Diff(set, set, true)
			Expect(err).NotTo(HaveOccurred())
			Expect(ops).To(BeEmpty())
		})
	}

	invalidFiles := []struct{ name, text, want string }{
		{"that is not JSON", `{"routes": `, "x.jsonc"},
		{"with keys", `{"keys": {"k": {"workspace": "w"}}}`, "keys are issued"},
		{"with an unknown kind", `{"colours": {"k": {}}}`, "colours"},
	}
	for _, tc := range invalidFiles {
		It("is refused if it has a file "+tc.name, func() {
			_, err := declaration.ReadFolder(fstest.MapFS{"x.jsonc": {Data: []byte(tc.text)}}, ".")
			Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}

	It("is refused if two files declare the same object", func() {
		_, err := declaration.ReadFolder(fstest.MapFS{
			"a.json": {Data: []byte(`{"workspaces":{"w":{}}}`)}, "b.json": {Data: []byte(`{"workspaces":{"w":{}}}`)},
		}, ".")
		Expect(err).To(MatchError(ContainSubstring("a.json and in b.json")))
	})
})

var _ = Describe("a key", func() {
	It("matches only its own secret", func() {
		id, secret, token, err := declaration.NewKey()
		Expect(err).NotTo(HaveOccurred())
		gotID, gotSecret, ok := declaration.ParseToken(token)
		Expect([]any{gotID, gotSecret, ok}).To(Equal([]any{id, secret, true}))
		ke := declaration.Key{Hash: declaration.HashSecret(secret)}
		Expect(ke.Matches(secret)).To(BeTrue())
		Expect(ke.Matches(secret + "0")).To(BeFalse())
		Expect(declaration.Key{}.Matches("")).To(BeFalse())
	})
})
