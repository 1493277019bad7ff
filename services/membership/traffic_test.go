package membership_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/decisions/member"
)

// request and response have the fields of the net/rpc messages of the peers service.
type (
	request struct {
		From   model.VMID
		To     string
		Body   interface{ Kind() string }
		Budget time.Duration
	}
	response struct {
		Body    interface{ Kind() string }
		Failure *failure.Error
	}
)

// encoded returns the size in bytes of values on a connection that has carried the same types before.
func encoded(t *testing.T, values ...any) int {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	for range 2 {
		b.Reset()
		for _, v := range values {
			if err := enc.Encode(v); err != nil {
				t.Fatal(err)
			}
		}
	}
	return b.Len()
}

// TestTraffic guards against heartbeats that need more than the 5 KB a second of a node at 28 VMs in 7 failure
// domains, in either direction. It counts net/rpc payload without TCP/IP headers.
func TestTraffic(t *testing.T) {
	const vms, domains, seconds, bound = 28, 7, 60, 5000
	all := make([]model.Member, vms)
	for i := range all {
		all[i] = model.Member{
			VM: model.VMID(fmt.Sprintf("entry-vm-%02d", i)), Domain: model.FailureDomain(fmt.Sprint("domain-", i%domains)),
			Region: "region-1", Address: "10.100.100.100:65000", Holder: model.Epoch{Store: 100000}, ConfigVersion: 1 << 20,
		}
	}
	beat := encoded(t, rpc.Request{ServiceMethod: "Peer.Deliver", Seq: 1 << 20},
		request{From: all[0].VM, To: "membership", Body: message.Heartbeat{Member: all[0], ConfigAge: time.Second}, Budget: time.Second})
	answer := encoded(t, rpc.Response{ServiceMethod: "Peer.Deliver", Seq: 1 << 20},
		response{Body: message.HeartbeatReply{Member: all[0], ConfigAge: time.Second}})
	tables := make([]*member.Table, vms)
	for i := range tables {
		tables[i] = member.New(all[i], all)
	}
	sent, received := make([]int, vms), make([]int, vms)
	now := time.Unix(1000, 0)
	for tick := range (seconds + 5) * 4 {
		for i, table := range tables {
			for _, m := range table.Due(now) {
				var j int
				_, _ = fmt.Sscanf(string(m.VM), "entry-vm-%d", &j)
				tables[j].Heard(all[i], now)
				table.Heard(all[j], now)
				// The first seconds, in which all VMs meet, do not count.
				if tick >= 20 {
					sent[i], received[i] = sent[i]+beat, received[i]+answer
					sent[j], received[j] = sent[j]+answer, received[j]+beat
				}
			}
		}
		now = now.Add(250 * time.Millisecond)
	}
	for i := range all {
		t.Logf("%s: %d B/s sent, %d B/s received", all[i].VM, sent[i]/seconds, received[i]/seconds)
		gomega.NewWithT(t).Expect(max(sent[i], received[i])/seconds).To(gomega.BeNumerically("<", bound), string(all[i].VM))
	}
}
