package evaluator_test

import (
	"fmt"
	"time"

	"peridotpitch/internal/evaluator"
)

func ExampleRun() {
	r := evaluator.Run(evaluator.Config{
		Firm:     evaluator.Firms()[0].Scaled(0.2),
		Scenario: evaluator.Scenarios()[0],
		Policies: evaluator.ProductPolicies,
		Seed:     1,
		Length:   10 * time.Second,
	})
	fmt.Println("answered some:", r.Answered > 0)
	fmt.Println("broken guarantees:", len(r.Violations))
	// Output:
	// answered some: true
	// broken guarantees: 0
}
