// Package metrics serves a process's metrics in the Prometheus format on the address
// given in the settings. The methods of a nil *Set that record values do nothing, for
// processes without such an address.
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

// Reading is a value of a gauge with its label values in the order of Gauge.Labels.
type Reading struct {
	Value  float64
	Labels []string
}

// Gauge is a metric whose values are read on each scrape.
type Gauge struct {
	Name, Help string
	Labels     []string
	Read       func() []Reading
}

// NewGauge returns a gauge with a single value and no labels.
func NewGauge(name, help string, read func() float64) Gauge {
	return Gauge{Name: name, Help: help, Read: func() []Reading { return []Reading{{Value: read()}} }}
}

// Set holds all metrics of a process.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	syncs    prometheus.Histogram
}

// New returns a set of the standard counters and histograms, the RPC traffic and the given gauges.
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

// collector implements prometheus.Collector for a gauge.
type collector struct {
	Gauge
	desc *prometheus.Desc
}

func (c *collector) Describe(ch chan<- *prometheus.Desc) { ch <- c.desc }

func (c *collector) Collect(ch chan<- prometheus.Metric) {
	for _, r := range c.Read() {
		m, err := prometheus.NewConstMetric(c.desc, prometheus.GaugeValue, r.Value, r.Labels...)
		if err != nil { // wrong number of labels, or invalid UTF-8
			m = prometheus.NewInvalidMetric(c.desc, err)
		}
		ch <- m
	}
}

// Request counts a response and its latency. route is empty if no route matched.
func (s *Set) Request(route string, status int, notExecuted bool, took time.Duration) {
	if s == nil {
		return
	}
	notExecutedLabel := "no"
	if notExecuted {
		notExecutedLabel = "yes"
	}
	s.requests.WithLabelValues(route, fmt.Sprint(status), notExecutedLabel).Inc()
	s.latency.WithLabelValues(route).Observe(took.Seconds())
}

// Synced records the duration of a synchronous write to the log.
func (s *Set) Synced(took time.Duration) {
	if s != nil {
		s.syncs.Observe(took.Seconds())
	}
}

// Serve serves GET /metrics on an address until ctx ends. It logs errors instead of
// returning them, as the process can run without metrics. If source is not nil, it
// requires TLS client certificates and accepts those of any role.
func (s *Set) Serve(ctx context.Context, address string, source *identity.Source, log *slog.Logger) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		log.Error("metrics.listen_failed", "err", err)
		return
	}
	if source != nil {
		listener = tls.NewListener(listener, source.Server())
	}
	s.serve(ctx, listener, log)
}

func (s *Set) serve(ctx context.Context, listener net.Listener, log *slog.Logger) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn), MaxRequestsInFlight: 4}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("metrics.serve_failed", "err", err)
	}
}
