package limiter_test

import (
	"fmt"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/limiter"
)

// With one free slot the urgent request starts first.
func ExampleLimiter() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	l := limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget})
	for _, q := range []limiter.Request{
		{ID: "q1", Service: "quotes", Deadline: now.Add(time.Second)},
		{ID: "q2", Service: "quotes", Deadline: now.Add(time.Second), Urgent: true},
	} {
		l.Offer(q, now)
	}
	for _, a := range l.Next("quotes", 1, now) {
		if s, ok := a.(limiter.Start); ok {
			fmt.Println("start", s.Request.ID)
		}
	}
	fmt.Println("waiting:", l.Queued("quotes"))
	// Output:
	// start q2
	// waiting: 1
}
