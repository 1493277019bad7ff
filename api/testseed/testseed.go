// Package testseed fixes the seed and the number of cases of stateful property tests, so that every run gives
// the same result. Longer random runs set other values through the environment.
package testseed

import (
	"flag"
	"os"
)

// Environment variables that override the seed and the number of cases.
const (
	EnvSeed   = "VERBENAFLOW_SEED"
	EnvChecks = "VERBENAFLOW_CHECKS"
)

const defaultSeed = "1"

// SetFlags sets the flags of pgregory.net/rapid. checks is the default number of cases.
// Call it from TestMain or init of a test package that uses rapid.
func SetFlags(checks string) {
	set("rapid.seed", EnvSeed, defaultSeed)
	set("rapid.checks", EnvChecks, checks)
	set("rapid.nofailfile", "", "true")
}

func set(name, env, value string) {
	if v := os.Getenv(env); env != "" && v != "" {
		value = v
	}
	if flag.Lookup(name) != nil {
		_ = flag.Set(name, value)
	}
}
