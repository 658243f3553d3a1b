package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"peridotpitch/internal/configurator"
	"peridotpitch/internal/publisher"
	"peridotpitch/internal/scheduler"
	"peridotpitch/internal/storer"
)

// RequestTimeout bounds the handling of one operator's request. It is longer than the time to
// determine whether a store write whose answer was lost has taken effect.
const RequestTimeout = 30 * time.Second

// maxRequestBytes bounds the body of a request. The text of a configuration has at most
// configurator.MaxTextBytes bytes before it is encoded.
const maxRequestBytes = 4 << 20

// ioTimeout bounds reading a request, and writing an answer.
const ioTimeout = 10 * time.Second

// maxConnections bounds the number of open connections from operators.
const maxConnections = 64

// defaultHistoryLimit is the number of history records in an answer if the request sets no
// limit.
const defaultHistoryLimit = 20

// nameBody is the body of a request about one job or host.
type nameBody struct{ Name string }

// route is the method and handler of one path under /admin/.
type route struct {
	method string
	path   string
	handle func(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error)
}

// routes lists the paths under /admin/.
var routes = []route{
	{fasthttp.MethodPost, "config/apply", applyConfiguration},
	{fasthttp.MethodGet, "config/show", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.ShowConfiguration(ctx)
	}},
	{fasthttp.MethodGet, "config/history", configurationHistory},
	{fasthttp.MethodPost, "job/submit", submitJob},
	{fasthttp.MethodPost, "job/cancel", withBodyName(func(ctx context.Context, b Backend, name string) (any, error) {
		return b.CancelJob(ctx, name)
	})},
	{fasthttp.MethodGet, "job/list", listJobs},
	{fasthttp.MethodGet, "job/show", withParameter("name", func(ctx context.Context, b Backend, name string) (any, error) {
		return b.ShowJob(ctx, name)
	})},
	{fasthttp.MethodGet, "service/list", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.ListServices(ctx)
	}},
	{fasthttp.MethodGet, "service/show", withParameter("name", func(ctx context.Context, b Backend, name string) (any, error) {
		return b.ShowService(ctx, name)
	})},
	{fasthttp.MethodGet, "host/list", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.ListHosts(ctx)
	}},
	{fasthttp.MethodPost, "host/drain", withBodyName(func(ctx context.Context, b Backend, name string) (any, error) {
		return struct{}{}, b.DrainHost(ctx, name, false)
	})},
	{fasthttp.MethodPost, "host/undrain", withBodyName(func(ctx context.Context, b Backend, name string) (any, error) {
		return struct{}{}, b.DrainHost(ctx, name, true)
	})},
	{fasthttp.MethodGet, "explain", withParameter("id", func(ctx context.Context, b Backend, id string) (any, error) {
		return b.Explain(ctx, id)
	})},
	{fasthttp.MethodGet, "status", func(ctx context.Context, b Backend, _ *fasthttp.RequestCtx) (any, error) {
		return b.Status(ctx)
	}},
}

// NewServer returns an HTTP server for operators. The caller serves and shuts it down.
// When ctx ends, requests in progress are canceled.
func NewServer(ctx context.Context, b Backend) *fasthttp.Server {
	return &fasthttp.Server{
		Name:                  "peridotpitch",
		Handler:               func(req *fasthttp.RequestCtx) { handle(ctx, b, req) },
		ReadTimeout:           ioTimeout,
		WriteTimeout:          ioTimeout,
		MaxRequestBodySize:    maxRequestBytes,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
}

func handle(ctx context.Context, b Backend, req *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	answer, err := handlerFor(req)(ctx, b, req)
	if err != nil {
		e := toError(err)
		writeJSON(req, httpStatus(e.Code), struct{ Error *Error }{e})
		return
	}
	writeJSON(req, fasthttp.StatusOK, answer)
}

// handlerFor returns the handler of the request's route, or a handler that answers with an
// error if the path does not exist or accepts another method only.
func handlerFor(req *fasthttp.RequestCtx) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	path, ok := strings.CutPrefix(string(req.Path()), "/admin/")
	for _, r := range routes {
		if !ok || r.path != path {
			continue
		}
		if string(req.Method()) != r.method {
			return errorHandler(CodeBadRequest, "/admin/%s accepts %s only", path, r.method)
		}
		return r.handle
	}
	return errorHandler(CodeNotFound, "path %s does not exist", req.Path())
}

func errorHandler(code Code, format string, args ...any) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	return func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
		return nil, &Error{Code: code, Message: fmt.Sprintf(format, args...)}
	}
}

func writeJSON(req *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		req.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	req.SetStatusCode(status)
	req.SetContentType("application/json")
	req.SetBody(body)
}

// decodeBody decodes the request's body. Unknown fields are errors, so that a misspelt
// field is not silently dropped.
func decodeBody(req *fasthttp.RequestCtx, v any) error {
	d := json.NewDecoder(bytes.NewReader(req.PostBody()))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err = d.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("data after the JSON value")
	}
	return &Error{Code: CodeBadRequest, Message: fmt.Sprintf("body is not the expected JSON: %v", err)}
}

func withBodyName(f func(context.Context, Backend, string) (any, error)) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	return func(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error) {
		var body nameBody
		if err := decodeBody(req, &body); err != nil {
			return nil, err
		}
		if body.Name == "" {
			return nil, &Error{Code: CodeBadRequest, Message: "field Name is missing"}
		}
		return f(ctx, b, body.Name)
	}
}

func withParameter(name string, f func(context.Context, Backend, string) (any, error)) func(context.Context, Backend, *fasthttp.RequestCtx) (any, error) {
	return func(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error) {
		v := string(req.QueryArgs().Peek(name))
		if v == "" {
			return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("parameter %s is missing", name)}
		}
		return f(ctx, b, v)
	}
}

func applyConfiguration(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error) {
	var s publisher.Submission
	if err := decodeBody(req, &s); err != nil {
		return nil, err
	}
	return b.ApplyConfiguration(ctx, s)
}

// jobNamePattern bounds the length of job names because journals, which contain them, have
// at most 1 MB. It excludes characters that make log lines and tables hard to read.
var jobNamePattern = regexp.MustCompile(`^[A-Za-z0-9._:/@+-]{1,128}$`)

func submitJob(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error) {
	var spec scheduler.JobSpec
	if err := decodeBody(req, &spec); err != nil {
		return nil, err
	}
	if spec.Name == "" || spec.Class == "" || spec.Team == "" {
		return nil, &Error{Code: CodeBadRequest, Message: "fields Name, Class and Team are required"}
	}
	if !jobNamePattern.MatchString(spec.Name) {
		return nil, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("job name %.200q is not accepted; allowed: letters, digits and . _ : / @ + - , at most 128 bytes", spec.Name)}
	}
	if d := spec.Declared; d.Cores < 0 || d.Memory < 0 || d.Accelerators < 0 || spec.Duration < 0 {
		return nil, &Error{Code: CodeBadRequest, Message: "Declared and Duration must not be negative"}
	}
	return b.SubmitJob(ctx, spec)
}

func configurationHistory(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error) {
	limit, err := limitParameter(req, defaultHistoryLimit, publisher.MaxHistoryRecords)
	if err != nil {
		return nil, err
	}
	return b.ConfigurationHistory(ctx, limit)
}

// jobStates lists the accepted values of the parameter state.
var jobStates = []scheduler.JobState{
	scheduler.JobPending, scheduler.JobStarting, scheduler.JobRunning, scheduler.JobEvicting, scheduler.JobCanceling,
	scheduler.JobFinished, scheduler.JobFailed, scheduler.JobCancelled, scheduler.JobRejected,
}

// ParseJobState returns the job state with the given text, or an *Error that lists the
// accepted ones.
func ParseJobState(text string) (scheduler.JobState, error) {
	names := make([]string, len(jobStates))
	for i, s := range jobStates {
		if string(s) == text {
			return s, nil
		}
		names[i] = string(s)
	}
	return "", &Error{Code: CodeBadRequest, Message: fmt.Sprintf("job state %q is not accepted; allowed: %s", text, strings.Join(names, ", "))}
}

// MaxJobLimit bounds the number of jobs in one answer.
const MaxJobLimit = 50000

func listJobs(ctx context.Context, b Backend, req *fasthttp.RequestCtx) (any, error) {
	f := JobFilter{Team: string(req.QueryArgs().Peek("team"))}
	var err error
	if text := string(req.QueryArgs().Peek("state")); text != "" {
		if f.State, err = ParseJobState(text); err != nil {
			return nil, err
		}
	}
	if f.Limit, err = limitParameter(req, DefaultJobLimit, MaxJobLimit); err != nil {
		return nil, err
	}
	return b.ListJobs(ctx, f)
}

func limitParameter(req *fasthttp.RequestCtx, defaultLimit, maxLimit int) (int, error) {
	text := string(req.QueryArgs().Peek("limit"))
	if text == "" || text == "0" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, &Error{Code: CodeBadRequest, Message: fmt.Sprintf("parameter limit %q is not accepted; allowed: 1 to %d", text, maxLimit)}
	}
	return n, nil
}

// toError converts an error of the Backend to an *Error with a code. If a write may have taken
// effect, the code never says that it had no effect.
func toError(err error) *Error {
	var adminError *Error
	var refused *configurator.RefusedError
	var lostRace *publisher.LostRaceError
	var notApplied *publisher.NotAppliedError
	var unknownSubmission *publisher.UnknownOutcomeError
	var unavailable *storer.UnavailableError
	var rateLimited *storer.RateLimitedError
	var unknownOutcome *storer.UnknownOutcomeError
	switch {
	case errors.As(err, &adminError):
		return adminError
	case errors.As(err, &refused):
		e := &Error{Code: CodeRefused, Message: err.Error(), Reason: refused.Reason}
		if refused.Invalid != nil {
			e.Faults = refused.Invalid.Faults
			e.Message = fmt.Sprintf("configuration refused: %s, %d faults", refused.Reason, len(e.Faults))
		}
		return e
	case errors.As(err, &lostRace):
		return &Error{Code: CodeLostRace, Message: err.Error(), Winner: lostRace.AppliedBy, Diff: lostRace.Diff}
	case errors.As(err, &unknownSubmission):
		return &Error{Code: CodeUnknownOutcome, Message: err.Error()}
	case errors.As(err, &notApplied):
		return &Error{Code: CodeUnavailable, Message: err.Error()}
	case errors.As(err, &unknownOutcome), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return &Error{Code: CodeUnknownOutcome, Message: err.Error()}
	case errors.As(err, &unavailable), errors.As(err, &rateLimited):
		return &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}

func httpStatus(c Code) int {
	switch c {
	case CodeBadRequest:
		return fasthttp.StatusBadRequest
	case CodeNotFound:
		return fasthttp.StatusNotFound
	case CodeRefused:
		return fasthttp.StatusUnprocessableEntity
	case CodeLostRace:
		return fasthttp.StatusConflict
	case CodeUnavailable:
		return fasthttp.StatusServiceUnavailable
	case CodeUnknownOutcome:
		return fasthttp.StatusGatewayTimeout
	}
	return fasthttp.StatusInternalServerError
}
