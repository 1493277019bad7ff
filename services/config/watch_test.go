package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	decide "github.com/verbenaflow/verbenaflow/decisions/config"
)

// TestUnchangedOtherVersion guards against a watch that returns unchanged for a version other than the requested one
// and still confirms the document.
func TestUnchangedOtherVersion(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		c.control(func(env *environment) { env.wrongVersion = true })
		time.Sleep(decide.ValidFor + startSlack)
		for i := range c.vms {
			view, err := c.view(i)
			if err != nil {
				return err
			}
			if view.Fresh(time.Now()) {
				return fmt.Errorf("%s is confirmed by an answer about another version", c.vms[i].member.VM)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestOldValueSameVersion guards against the confirmation of a newer document by a store that, after an outage, holds
// an older document under the same version, so that a watch returns unchanged.
func TestOldValueSameVersion(t *testing.T) {
	err := inCluster(t, func(c *cluster) error {
		old, err := c.change(0, 0, message.ConfigChange{TakeOut: "a"})
		if err != nil {
			return err
		}
		last, err := c.change(0, 0, message.ConfigChange{TakeOut: "b"})
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		c.control(func(env *environment) { env.down = true })
		time.Sleep(time.Second)
		value, err := json.Marshal(old)
		if err != nil {
			return err
		}
		c.control(func(env *environment) { env.down, env.entry.Value = false, value })
		time.Sleep(inForceWithin)
		var found model.Config
		c.control(func(env *environment) { err = json.Unmarshal(env.entry.Value, &found) })
		if err == nil && found.WriteID != last.WriteID {
			err = fmt.Errorf("the store holds version %d, not %d", found.Version, last.Version)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
