// Package metrics shows a process's figures in the Prometheus format, on an
// address of the settings' own. Where none is given nothing is served, and a nil
// *Set takes everything without a word.
package metrics

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"ivydeck/internal/transport/identity"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Reading is a value with its labels' values, in the order of Gauge.Labels.
type Reading struct {
	Value  float64
	Labels []string
}

// Gauge is a figure that is read when somebody asks, so that it costs nothing else.
type Gauge struct {
	Name, Help string
	Labels     []string
	Read       func() []Reading
}

// One returns a gauge of a single value.
func One(name, help string, read func() float64) Gauge {
	return Gauge{Name: name, Help: help, Read: func() []Reading { return []Reading{{Value: read()}} }}
}

// Set is a process's metrics.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	syncs    prometheus.Histogram
}

// New returns a set with counters of its own and gauges.
func New(gauges ...Gauge) *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ivydeck_requests_total",
			Help: "Final answers to clients, by route, status, and whether they promise that the request has not run."},
			[]string{"route", "status", "promise"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ivydeck_request_seconds",
			Help: "From a request's last byte to its final answer.", Buckets: prometheus.ExponentialBuckets(0.002, 1.8, 16)}, []string{"route"}),
		syncs: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "ivydeck_disk_sync_seconds",
			Help: "Of the log's synced writes.", Buckets: prometheus.ExponentialBuckets(0.0002, 2, 16)}),
	}
	s.registry.MustRegister(s.requests, s.latency, s.syncs, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, g := range append(gauges, traffic()...) {
		s.registry.MustRegister(&collector{g, prometheus.NewDesc(g.Name, g.Help, g.Labels, nil)})
	}
	return s
}

// collector reads a gauge when it is asked to.
type collector struct {
	Gauge
	desc *prometheus.Desc
}

func (c *collector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	for _, r := range c.Read() {
		m, err := prometheus.NewConstMetric(c.desc, prometheus.GaugeValue, r.Value, r.Labels...)
		if err != nil { // labels that are no text
			m = prometheus.NewInvalidMetric(c.desc, err)
		}
		ch <- m
	}
}

// Request counts a response. Route is empty if none was found.
func (s *Set) Request(route string, status int, notExecuted bool, took time.Duration) {
	if s == nil {
		return
	}
	promised := "no"
	if notExecuted {
		promised = "yes"
	}
	s.requests.WithLabelValues(route, fmt.Sprint(status), promised).Inc()
	s.latency.WithLabelValues(route).Observe(took.Seconds())
}

// Synced records the duration of a synced write of the log.
func (s *Set) Synced(took time.Duration) {
	if s != nil {
		s.syncs.Observe(took.Seconds())
	}
}

// Serve answers GET /metrics on an address until the context ends. What goes wrong
// is logged: a process does not end for want of its figures.
// With a source it asks callers for an identity, whatever its role.
func (s *Set) Serve(ctx context.Context, address string, source *identity.Source, log *slog.Logger) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Error("metrics.listen_failed", "err", err)
		return
	}
	if source != nil {
		l = tls.NewListener(l, source.Server())
	}
	s.serve(ctx, l, log)
}

func (s *Set) serve(ctx context.Context, l net.Listener, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn), MaxRequestsInFlight: 4}))
	web := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	defer context.AfterFunc(ctx, func() { web.Close() })()
	if err := web.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("metrics.serve_failed", "err", err)
	}
}
