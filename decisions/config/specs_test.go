package config_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/config"
)

func TestSpecs(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "configuration")
}

func validDocument() model.Config {
	return model.Config{InForce: "ordinary", Presets: map[string]model.Preset{"ordinary": {
		Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1, Guarantees: []model.Guarantee{
			{Domain: "a", Cells: []model.CellCount{{Level: model.LevelRack, Count: 1}}},
		}}},
	}}}
}

// changeAccount returns a change to the only client account of the document.
func changeAccount(change func(*model.AccountPolicy)) func(*model.Config) {
	return func(c *model.Config) {
		a := c.Presets["ordinary"].Accounts["acme"]
		change(&a)
		c.Presets["ordinary"].Accounts["acme"] = a
	}
}

// The specs guard against accepted documents of which a part cannot be applied.
var _ = ginkgo.Describe("Validate", func() {
	const acme = "presets.ordinary.accounts.acme"

	ginkgo.It("accepts a complete document", func() {
		gomega.Expect(config.Validate(validDocument())).To(gomega.Succeed())
	})

	ginkgo.DescribeTable("names every fault", func(change func(*model.Config), paths ...string) {
		doc := validDocument()
		change(&doc)
		var invalid *config.InvalidError
		gomega.Expect(config.Validate(doc)).To(gomega.BeAssignableToTypeOf(invalid))
		invalid = config.Validate(doc).(*config.InvalidError)
		var found []string
		for _, p := range invalid.Problems {
			found = append(found, p.Path)
		}
		gomega.Expect(found).To(gomega.Equal(paths))
	},
		ginkgo.Entry("preset missing", func(c *model.Config) { c.InForce = "peak" }, "in_force"),
		ginkgo.Entry("no presets", func(c *model.Config) { c.Presets = nil }, "presets", "in_force"),
		ginkgo.Entry("name with slash", func(c *model.Config) { c.Out = []model.FailureDomain{"a/b"} }, "out"),
		ginkgo.Entry("no weight", changeAccount(func(a *model.AccountPolicy) { a.Weight = 0 }), acme+".weight"),
		ginkgo.Entry("rate without burst", changeAccount(func(a *model.AccountPolicy) { a.RequestsPerSecond = 5 }), acme+".request_burst"),
		ginkgo.Entry("failure domain as cell", changeAccount(func(a *model.AccountPolicy) {
			a.Guarantees[0].Cells[0].Level = model.LevelDomain
		}), acme+".guarantees[0].cells"),
		ginkgo.Entry("guarantee over quota", changeAccount(func(a *model.AccountPolicy) { a.QuotaGPUs = 8 }), acme+".guarantees[0]"),
	)
})

// The specs guard against changes that the operator did not intend: against a version that the operator has not seen,
// or with a misspelled name.
var _ = ginkgo.Describe("Propose", func() {
	ginkgo.DescribeTable("refuses", func(expect uint64, ch message.ConfigChange, reason failure.Reason) {
		doc := validDocument()
		doc.Version = 3
		_, fail := config.Propose(doc, expect, ch, "w1", []model.FailureDomain{"a", "b"})
		gomega.Expect(fail).NotTo(gomega.BeNil())
		gomega.Expect(fail.Reason).To(gomega.Equal(reason))
		gomega.Expect(fail.Outcome).To(gomega.Equal(failure.NotRun))
	},
		ginkgo.Entry("another version", uint64(2), message.ConfigChange{TakeOut: "a"}, failure.ConfigConflict),
		ginkgo.Entry("a misspelled failure domain", uint64(3), message.ConfigChange{TakeOut: "aa"}, failure.ConfigInvalid),
		ginkgo.Entry("a failure domain that is not out", uint64(3), message.ConfigChange{BringIn: "a"}, failure.ConfigInvalid),
		ginkgo.Entry("an unknown preset", uint64(3), message.ConfigChange{UsePreset: "peak"}, failure.ConfigInvalid),
		ginkgo.Entry("no change", uint64(3), message.ConfigChange{}, failure.ConfigInvalid),
		ginkgo.Entry("two changes", uint64(3), message.ConfigChange{TakeOut: "a", BringIn: "b"}, failure.ConfigInvalid),
	)
})

// The specs guard against a load on the store that grows with the number of VMs: while the holder is alive, the other
// VMs of its failure domain ask the holder first.
var _ = ginkgo.Describe("Selector", func() {
	self := model.Member{VM: "a2", Domain: "a", Region: "r1"}
	members := []model.Member{
		{VM: "c1", Domain: "c", Region: "r2", Alive: true, Holder: model.Epoch{Store: 1}},
		{VM: "a1", Domain: "a", Region: "r1", Alive: true, Holder: model.Epoch{Store: 4}},
		{VM: "a3", Domain: "a", Region: "r1", Alive: true},
		{VM: "b1", Domain: "b", Region: "r1"},
	}
	order := func(holder bool, members []model.Member, n int) []model.VMID {
		var s config.Selector
		var out []model.VMID
		for range n {
			out = append(out, s.Next(self, holder, members).VM)
			s.Failed()
		}
		return out
	}

	ginkgo.It("asks the holder first", func() {
		gomega.Expect(order(false, members, 5)).To(gomega.Equal([]model.VMID{"a1", "", "a3", "c1", "a1"}))
	})
	ginkgo.It("asks the store first as the holder", func() {
		gomega.Expect(order(true, members, 3)).To(gomega.Equal([]model.VMID{"", "a1", ""}))
	})
	ginkgo.It("asks the store where no other VM is known", func() {
		gomega.Expect(order(false, nil, 2)).To(gomega.Equal([]model.VMID{"", ""}))
	})
})
