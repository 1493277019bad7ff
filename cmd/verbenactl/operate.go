package main

import (
	"encoding/json"
	"maps"
	"net/url"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// configChangeOptions holds the flags of commands that change the configuration.
type configChangeOptions struct {
	Expect *uint64 `long:"expect" description:"version that the change is based on; by default the current one"`
}

// propose sends one configuration change, which is refused if the current version differs from --expect. Without the
// flag, it expects the version that it reads first.
func (o configChangeOptions) propose(a *app, ch message.ConfigChange) error {
	in := httpapi.ChangeConfigRequest{Change: ch}
	if o.Expect != nil {
		in.ExpectedVersion = *o.Expect
	} else {
		current, err := readConfig(a)
		if err != nil {
			return err
		}
		in.ExpectedVersion = current.Config.Version
	}
	var out httpapi.ConfigResponse
	if err := a.post("/v1/config", in, &out); err != nil {
		return err
	}
	return a.printResult(out, []any{"VERSION", "PRESET", "OUT"}, []any{out.Config.Version, out.Config.InForce, out.Config.Out})
}

// readConfig returns the configuration, or one with version 0 if none is available yet.
func readConfig(a *app) (httpapi.ConfigResponse, error) {
	var out httpapi.ConfigResponse
	err := a.get("/v1/config", &out)
	if errors.Is(err, &failure.Error{Reason: failure.ConfigUnavailable}) {
		return httpapi.ConfigResponse{}, nil
	}
	return out, err
}

type presetList struct{ app *app }

// Execute implements flags.Commander.
func (o *presetList) Execute([]string) error {
	cfg, err := readConfig(o.app)
	if err != nil {
		return err
	}
	rows := [][]any{{"PRESET", "IN FORCE", "ACCOUNTS"}}
	for _, name := range slices.Sorted(maps.Keys(cfg.Config.Presets)) {
		rows = append(rows, []any{name, name == cfg.Config.InForce, len(cfg.Config.Presets[name].Accounts)})
	}
	return o.app.printResult(cfg.Config.Presets, rows...)
}

// presetArg holds the positional argument of preset commands.
type presetArg struct {
	Name string `positional-arg-name:"NAME" required:"true"`
}

type presetShow struct {
	app  *app
	Args presetArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *presetShow) Execute([]string) error {
	cfg, err := readConfig(o.app)
	if err != nil {
		return err
	}
	p, ok := cfg.Config.Presets[o.Args.Name]
	if !ok {
		return &missingPresetError{o.Args.Name}
	}
	rows := [][]any{{"ACCOUNT", "WEIGHT", "QUOTA", "GUARANTEES", "REQUESTS/S", "BURST", "MAX QUEUED"}}
	for _, id := range slices.Sorted(maps.Keys(p.Accounts)) {
		x := p.Accounts[id]
		rows = append(rows, []any{id, x.Weight, x.QuotaGPUs, x.Guarantees, x.RequestsPerSecond, x.RequestBurst, x.MaxQueuedJobs})
	}
	return o.app.printResult(p, rows...)
}

type presetUse struct {
	app *app
	configChangeOptions
	Args presetArg `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *presetUse) Execute([]string) error {
	return o.propose(o.app, message.ConfigChange{UsePreset: o.Args.Name})
}

type presetPut struct {
	app *app
	configChangeOptions
	Args struct {
		Name string `positional-arg-name:"NAME" required:"true"`
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *presetPut) Execute([]string) error {
	p, err := readPreset(o.Args.File)
	if err != nil {
		return err
	}
	return o.propose(o.app, message.ConfigChange{PutPreset: &message.NamedPreset{Name: o.Args.Name, Preset: p}})
}

// readPreset reads a preset from a JSON file. It returns an error for unknown keys.
func readPreset(file string) (model.Preset, error) {
	var p model.Preset
	f, err := os.Open(file)
	if err != nil {
		return p, errors.Wrap(err, "preset file")
	}
	defer f.Close()
	dec := json.NewDecoder(f)
	dec.DisallowUnknownFields()
	return p, errors.Wrapf(dec.Decode(&p), "preset file %s", file)
}

type domainChange struct {
	app *app
	out bool
	configChangeOptions
	Args struct {
		Domain string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *domainChange) Execute([]string) error {
	d := model.FailureDomain(o.Args.Domain)
	if o.out {
		return o.propose(o.app, message.ConfigChange{TakeOut: d})
	}
	return o.propose(o.app, message.ConfigChange{BringIn: d})
}

type domainStatus struct{ app *app }

// Execute implements flags.Commander.
func (o *domainStatus) Execute([]string) error {
	var s httpapi.StatusResponse
	if err := o.app.get("/v1/status", &s); err != nil {
		return err
	}
	return o.app.printResult(s.Holders, holderRows(s)...)
}

func holderRows(s httpapi.StatusResponse) [][]any {
	rows := [][]any{{"DOMAIN", "HOLDER", "EPOCH", "OUT"}}
	for _, h := range s.Holders {
		rows = append(rows, []any{h.Domain, h.VM, h.Epoch, h.OutOfService})
	}
	return rows
}

type statusShow struct{ app *app }

// Execute implements flags.Commander.
func (o *statusShow) Execute([]string) error {
	var s httpapi.StatusResponse
	if err := o.app.get("/v1/status", &s); err != nil {
		return err
	}
	rows := [][]any{
		{"VM", "DOMAIN", "REGION", "DRAINING", "CONFIG", "AGE MS", "PRESET"},
		{s.VM, s.Domain, s.Region, s.Draining, s.ConfigVersion, s.ConfigAgeMS, s.Preset},
		{},
	}
	rows = append(append(rows, holderRows(s)...), []any{}, []any{"MEMBER", "DOMAIN", "REGION", "ALIVE", "LEAVING", "CONFIG"})
	for _, m := range s.Members {
		rows = append(rows, []any{m.VM, m.Domain, m.Region, m.Alive, m.Leaving, m.ConfigVersion})
	}
	return o.app.printResult(s, rows...)
}

type accountShow struct {
	app    *app
	Domain string `long:"domain" description:"failure domain; by default that of the entry VM"`
	Args   struct {
		Account string `positional-arg-name:"ACCOUNT" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (o *accountShow) Execute([]string) error {
	q := url.Values{"account": {o.Args.Account}, "domain": {o.Domain}}
	var r message.AccountReply
	if err := o.app.get("/v1/account?"+q.Encode(), &r); err != nil {
		return err
	}
	return o.app.printResult(r,
		[]any{"ACCOUNT", "DOMAIN", "RUNNING GPUS", "QUEUED GPUS", "GUARANTEED GPUS", "QUOTA", "WEIGHT"},
		[]any{r.Account, r.Domain, r.GPUsRunning, r.GPUsQueued, r.Guaranteed, r.Policy.QuotaGPUs, r.Policy.Weight})
}
