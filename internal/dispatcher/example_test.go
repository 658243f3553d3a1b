package dispatcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/dispatcher"
	"peridotpitch/internal/forwarder"
	"peridotpitch/internal/limiter"
	"peridotpitch/internal/receiver"
	"peridotpitch/internal/router"
)

// Without an instance, a request waits until its deadline. Its outcome is "not run".
func ExampleDispatcher() {
	sender, closeSender := forwarder.New()
	defer closeSender()
	d, stop := dispatcher.New(dispatcher.Settings{
		Router:  router.New(router.Settings{Policy: configurator.RoutingAdaptive}, rand.New(rand.NewPCG(1, 1))),
		Limiter: limiter.New(limiter.Settings{Limits: configurator.LimitFair, Retries: configurator.RetryBudget}),
		Sender:  sender,
	})
	defer stop()
	outcome := d.Handle(context.Background(), receiver.Request{
		ID: "q1", Service: "quotes", Deadline: time.Now().Add(10 * time.Millisecond),
	})
	_, notRun := outcome.(receiver.NotRun)
	fmt.Println("not run:", notRun)
	// Output: not run: true
}
