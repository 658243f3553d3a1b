package forwarder_test

import (
	"context"
	"fmt"
	"time"

	"peridotpitch/internal/forwarder"
)

// If no server listens at the address, the request does not run.
func ExampleForwarder_Send() {
	f, stop := forwarder.New()
	defer stop()
	result := f.Send(context.Background(), forwarder.Request{
		ID: "q1", Attempt: 1, Instance: "quotes-1", Address: "127.0.0.1:1", Connections: 4,
		Method: "GET", Path: "/quote", Deadline: time.Now().Add(time.Second),
	})
	switch r := result.(type) {
	case forwarder.Answered:
		fmt.Println("answered", r.Status)
	case forwarder.NotRun:
		fmt.Println("not run")
	case forwarder.Unknown:
		fmt.Println("may have run:", r.Reason)
	}
	// Output: not run
}
