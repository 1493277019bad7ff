package config_test

import (
	"fmt"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/config"
)

// Of two changes against the same version one wins. A VM never applies an older document and starts no task
// in a failure domain that is out or after ValidFor without a confirmation.
func ExamplePropose() {
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}}
	first, _ := config.Propose(model.Config{}, 0, message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}}, "write-1", nil)
	second, _ := config.Propose(first, 1, message.ConfigChange{TakeOut: "north"}, "write-2", nil)
	fmt.Println("version", second.Version, "out", second.Out)
	_, refused := config.Propose(second, 1, message.ConfigChange{UsePreset: "ordinary"}, "write-3", nil)
	fmt.Println(refused)

	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	view := config.View{}.Learn(second, now).Learn(first, now)
	fmt.Println("applied", view.Doc.Version)
	fmt.Println("north may start:", view.MayStart("north", now))
	fmt.Println("south may start:", view.MayStart("south", now))
	fmt.Println("south may start unconfirmed:", view.MayStart("south", now.Add(config.ValidFor)))
	// Output:
	// version 2 out [north]
	// config_conflict: version 2 is in force; the change was made against version 1
	// applied 2
	// north may start: false
	// south may start: true
	// south may start unconfirmed: false
}
