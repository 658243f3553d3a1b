package receiver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"peridotpitch/internal/receiver"
)

// refuser is a handler that runs no request, as if its queue were always full.
type refuser struct{}

func (refuser) Handle(context.Context, receiver.Request) receiver.Outcome {
	return receiver.NotRun{Reason: "queue-full"}
}

func ExampleReceiver() {
	r, err := receiver.New(receiver.Settings{Handler: refuser{}, NewRequestID: func() string { return "q1" }})
	if err != nil {
		fmt.Println(err)
		return
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	served := make(chan error)
	go func() { served <- r.Serve(l) }()
	resp, err := http.Get("http://" + l.Addr().String() + "/services/quotes/trumpet")
	if err != nil {
		fmt.Println(err)
		return
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	fmt.Println(resp.StatusCode, string(body))
	fmt.Println(r.Shutdown(context.Background()), <-served)
	// Output:
	// 503 {"Error":{"Code":"not-run","Message":"queue-full","Request":"q1"}}
	// <nil> <nil>
}
