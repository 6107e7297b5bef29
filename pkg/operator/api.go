package operator

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/flamingowind/flamingowind/pkg/config"
	"github.com/flamingowind/flamingowind/pkg/connlimit"
)

// Limits of the listener.
const (
	maxBody       = 8 << 20
	maxHeader     = 16 << 10
	headerTimeout = 5 * time.Second
	readTimeout   = 20 * time.Second
	idleTimeout   = 60 * time.Second
	// writeWindow bounds one read or write of the table on behalf of a request.
	writeWindow  = 10 * time.Second
	stopWindow   = 5 * time.Second
	lineDeadline = 10 * time.Second
	maxWatches   = 64
)

// Options are what an API needs.
type Options struct {
	// Router is this router's ID.
	Router string
	Store  *config.Store
	Live   *config.Live
	Fleet  Fleet
	Tokens *Tokens
	// Drain starts draining this router and returns at once.
	Drain func()
	Log   log.Interface
}

// API is the resource API of one router.
type API struct {
	opts     Options
	observer *Observer
	watches  chan struct{} // a bounded count of running watches
	stopping chan struct{}
}

// New returns an API; Serve or Handler put it to work.
func New(opts Options) *API {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	return &API{
		opts: opts, observer: NewObserver(),
		watches: make(chan struct{}, maxWatches), stopping: make(chan struct{}),
	}
}

// Handler returns the API's routes, behind the check of the token.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter().PathPrefix("/api/v1").Subrouter()
	r.Use(a.authenticated)
	r.NotFoundHandler = a.authenticated(http.HandlerFunc(notFound))
	r.MethodNotAllowedHandler = r.NotFoundHandler
	r.HandleFunc("/apply", a.handle(a.apply)).Methods(http.MethodPost)
	r.HandleFunc("/watch", a.watch).Methods(http.MethodGet)
	r.HandleFunc("/status", a.handle(a.status)).Methods(http.MethodGet)
	r.HandleFunc("/drain", a.handle(a.drain)).Methods(http.MethodPost)
	r.HandleFunc("/operations/{id}", a.handle(a.operation)).Methods(http.MethodGet)
	r.HandleFunc("/{kind}", a.handle(a.list)).Methods(http.MethodGet)
	r.HandleFunc("/{kind}/{name}", a.handle(a.get)).Methods(http.MethodGet)
	r.HandleFunc("/{kind}/{name}", a.handle(a.put)).Methods(http.MethodPut)
	r.HandleFunc("/{kind}/{name}", a.handle(a.remove)).Methods(http.MethodDelete)
	return r
}

// Serve answers on l until ctx ends, then ends watches and finishes what runs.
func (a *API) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{
		Handler:           a.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	connlimit.Track(server)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	observed := make(chan struct{})
	go func() {
		defer close(observed)
		a.observer.Run(ctx, a.opts.Fleet)
	}()
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		close(a.stopping)
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWindow)
		defer cancel()
		stopped <- server.Shutdown(bounded)
	}()
	err := server.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "operator listener")
	}
	<-observed
	return errors.Annotate(<-stopped, "stop operator listener")
}

func (a *API) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !a.opts.Tokens.Valid(token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set("Connection", "close") // nothing more is read of what a stranger sends
			writeFailure(w, failure(http.StatusUnauthorized, CodeUnauthorized, "an operator's bearer token is needed"))
			return
		}
		connlimit.FromContext(r.Context()).RequestRead() // an operator is waited for
		next.ServeHTTP(w, r)
	})
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeFailure(w, failure(http.StatusNotFound, CodeNotFound, "no such path or method in the resource API"))
}

// answer is what a handler gives back when it succeeds.
type answer struct {
	status int
	etag   string
	body   any
}

// handle bounds the body and the time, and writes the answer or the failure.
func (a *API) handle(h func(ctx context.Context, r *http.Request) (answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), writeWindow)
		defer cancel()
		deadline := time.Now().Add(writeWindow + lineDeadline)
		_ = http.NewResponseController(w).SetWriteDeadline(deadline) // a test's recorder has none
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		ans, err := h(ctx, r)
		if err != nil {
			f := failureOf(err)
			a.opts.Log.WithError(err).WithField("path", r.URL.Path).WithField("code", f.Code).Info("operator request refused")
			writeFailure(w, f)
			return
		}
		if ans.etag != "" {
			w.Header().Set("ETag", ans.etag)
		}
		writeJSON(w, ans.status, ans.body)
	}
}
