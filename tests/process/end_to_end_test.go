package process

import (
	"net/http"
	"net/url"
	"syscall"
	"testing"

	"github.com/onsi/gomega"

	"github.com/verbenaflow/verbenaflow/api/failure"
	"github.com/verbenaflow/verbenaflow/api/message"
	"github.com/verbenaflow/verbenaflow/api/model"
	"github.com/verbenaflow/verbenaflow/services/httpapi"
)

// TestPath guards against a failure anywhere between a caller and the backend servers: a gang must run, a request must
// be answered, and a failure domain that is taken out must start no job until it is brought back in.
func TestPath(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(t, 2, 2, 1)
	base := c.urls[0]
	preset := model.Preset{Accounts: map[model.AccountID]model.AccountPolicy{"acme": {Weight: 1}}}
	change := func(ch message.ConfigChange) func() int {
		return func() int {
			var current httpapi.ConfigResponse
			_, _ = call(base+"/v1/config", nil, &current)
			status, _ := call(base+"/v1/config", httpapi.ChangeConfigRequest{ExpectedVersion: current.Config.Version, Change: ch}, nil)
			return status
		}
	}
	eventually(t, change(message.ConfigChange{PutPreset: &message.NamedPreset{Name: "ordinary", Preset: preset}})).Should(gomega.Equal(http.StatusOK))

	submit := func(job *model.Job) func() int {
		return func() int {
			status, _ := call(base+"/v1/jobs", model.JobSpec{Account: "acme", Tasks: 2, GPUsPerTask: 8, RunTime: 1e8, Preemptible: true}, job)
			return status
		}
	}
	state := func(job *model.Job) func() model.JobState {
		return func() model.JobState {
			var j model.Job
			_, _ = call(base+"/v1/job?id="+url.QueryEscape(string(job.ID)), nil, &j)
			return j.State
		}
	}
	var first model.Job
	eventually(t, submit(&first)).Should(gomega.Equal(http.StatusOK))
	eventually(t, state(&first)).Should(gomega.Equal(model.JobSucceeded))

	var tickets []string
	status, err := call(base+"/v1/tickets", httpapi.IssueTicketsRequest{Account: "acme", Count: 1}, &tickets)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	send := httpapi.SendRequest{Ticket: tickets[0], Account: "acme", Service: "confirm", Payload: []byte("slot 7"), Fresh: true}
	var answer httpapi.RequestResult
	status, err = call(base+"/v1/requests", send, &answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	g.Expect(answer.Outcome).To(gomega.Equal(failure.Run))
	g.Expect(string(answer.Body)).To(gomega.Equal("confirm:slot 7"))

	eventually(t, change(message.ConfigChange{TakeOut: "a"})).Should(gomega.Equal(http.StatusOK))
	var second model.Job
	eventually(t, submit(&second)).Should(gomega.Equal(http.StatusOK))
	g.Consistently(state(&second), "1s").Should(gomega.Equal(model.JobQueued))
	eventually(t, change(message.ConfigChange{BringIn: "a"})).Should(gomega.Equal(http.StatusOK))
	eventually(t, state(&second)).Should(gomega.Equal(model.JobSucceeded))

	c.daemons[0].signal(t, syscall.SIGTERM)
	g.Eventually(c.daemons[0].done, waitLimit).Should(gomega.Receive(gomega.BeNil()), "exit status after SIGTERM")
}
