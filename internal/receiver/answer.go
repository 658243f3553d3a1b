package receiver

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// notForwardedHeaders are response headers of a backend server that are not copied to the
// caller: they concern a single connection or are set by this package.
var notForwardedHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	HeaderRequest: true, HeaderOutcome: true, HeaderReason: true,
}

// writeOutcome writes the final answer of a handled request.
func writeOutcome(ctx *fasthttp.RequestCtx, id string, o Outcome) {
	switch o := o.(type) {
	case Answered:
		ctx.SetStatusCode(o.Status)
		for _, h := range o.Headers {
			if !notForwardedHeaders[h.Name] {
				ctx.Response.Header.Add(h.Name, h.Value)
			}
		}
		ctx.Response.SetBody(o.Body)
		ctx.Response.Header.Set(HeaderOutcome, OutcomeAnswered)
	case NotRun:
		status := fasthttp.StatusServiceUnavailable
		if o.QuotaExceeded {
			status = fasthttp.StatusTooManyRequests
		}
		if o.RetryAfter > 0 {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, ceilSeconds(o.RetryAfter))
		}
		ctx.Response.Header.Set(HeaderOutcome, OutcomeNotRun)
		ctx.Response.Header.Set(HeaderReason, o.Reason)
		writeError(ctx, status, OutcomeNotRun, o.Reason, id)
	case Unknown:
		ctx.Response.Header.Set(HeaderOutcome, OutcomeUnknown)
		ctx.Response.Header.Set(HeaderReason, o.Reason)
		writeError(ctx, fasthttp.StatusGatewayTimeout, OutcomeUnknown, o.Reason, id)
	}
	ctx.Response.Header.Set(HeaderRequest, id)
}

// ceilSeconds formats d in seconds for the Retry-After header, rounded up so that a caller
// does not retry too early.
func ceilSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// writeError writes a JSON error body.
func writeError(ctx *fasthttp.RequestCtx, status int, code, message, id string) {
	ctx.SetStatusCode(status)
	writeJSON(ctx, struct {
		Error struct{ Code, Message, Request string }
	}{struct{ Code, Message, Request string }{code, message, id}})
}

// probe answers /ready and /live: 503 if reasons is not empty, and 200 otherwise.
func (r *Receiver) probe(ctx *fasthttp.RequestCtx, reasons []string) {
	if len(reasons) > 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	writeJSON(ctx, struct {
		Ready   bool
		Reasons []string
	}{len(reasons) == 0, reasons})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		body = []byte("{}") // not expected: v has only strings and booleans
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
