package administrator

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// RequestTimeout bounds the work on one operator's request. It exceeds the time that a
// lost store answer takes to resolve.
const RequestTimeout = 15 * time.Second

// nameBody is the body of requests that concern one job or host.
type nameBody struct{ Name string }

// NewServer returns an HTTP server for operators. The caller serves and shuts it down.
// ctx ends the work of requests that are still running.
func NewServer(_ context.Context, _ Backend) *fasthttp.Server {
	return &fasthttp.Server{Name: "peridotpitch"}
}
