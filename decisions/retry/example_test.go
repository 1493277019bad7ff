package retry_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/verbenaflow/verbenaflow/decisions/retry"
)

// Without requests the burst can be used only once. Requests refill the budget, up to the burst.
func ExampleBudget() {
	var b retry.Budget
	random := rand.New(rand.NewPCG(1, 2))
	allowed := 0
	for b.TryRetry() {
		allowed++
	}
	fmt.Println("retries without requests:", allowed)
	for range 1000 {
		b.RecordRequest()
	}
	allowed = 0
	for b.TryRetry() {
		allowed++
	}
	fmt.Println("retries after 1000 requests:", allowed)
	fmt.Println("delay within bounds:", retry.Delay(20, random) <= retry.MaxDelay)
	// Output:
	// retries without requests: 10
	// retries after 1000 requests: 10
	// delay within bounds: true
}
