package server

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"
	"go.yaml.in/yaml/v3"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// OperatorHandler returns the HTTP handler of the operators' port.
func (s *Server) OperatorHandler() http.Handler {
	m := newMux()
	m.GET("/healthz", s.health)
	m.GET("/readyz", s.readiness)
	m.GET("/metrics", s.requireOperator(s.metrics))
	m.GET("/config", s.requireOperator(s.config))
	m.GET("/report", s.requireOperator(s.report))
	return m
}

// requireOperator returns a handler that calls h only for requests with the
// operator key.
func (s *Server) requireOperator(h http.HandlerFunc) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if !s.isOperator(r) {
			writeRefusal(w, refuser.New(refuser.Unauthorized, refuser.NotRun, "send the operator key as Authorization: Bearer KEY"), 0)
			return
		}
		h(w, r)
	}
}

// health answers GET /healthz with success while the process serves requests.
func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	fmt.Fprintln(w, "ok")
}

// readiness answers GET /readyz with success if the load balancer should send
// requests to this host.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := s.readinessError(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintln(w, "ready")
}

// config answers GET /config with the active configuration.
func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	c := s.opts.Views.Catalog()
	if c == nil {
		writeRefusal(w, refuser.New(refuser.NotConfigured, refuser.NotRun, "%v", errNotConfigured), 0)
		return
	}
	text, err := s.opts.Print(c.View.Config)
	if err != nil {
		writeRefusal(w, refuser.New(refuser.Internal, refuser.NotRun, "print the configuration: %v", err), 0)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Foxtailwall-Version", strconv.FormatUint(c.View.Version, 10))
	_, _ = w.Write(text) // The operator may have disconnected.
}

// reportTypes maps the formats of GET /report to their content types.
var reportTypes = map[string]string{
	"text": "text/plain; charset=utf-8", "json": "application/json", "html": "text/html; charset=utf-8",
}

// report answers GET /report?format=FORMAT with the error budget burn rates of
// the workspaces on this host.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	format := r.URL.Query().Get("format")
	if format == "" {
		format = "text"
	}
	kind, ok := reportTypes[format]
	switch {
	case !ok:
		writeRefusal(w, refuser.New(refuser.BadRequest, refuser.NotRun, "format is %q; allowed are text, json and html", format), 0)
		return
	case s.opts.Report == nil:
		writeRefusal(w, refuser.New(refuser.NotConfigured, refuser.NotRun, "this host has no data folder, so it records no counters"), 0)
		return
	}
	var b bytes.Buffer
	err := s.opts.Report(&b, format)
	if re, ok := refuser.As(err); ok {
		writeRefusal(w, re, 0)
		return
	}
	if err != nil {
		writeRefusal(w, refuser.New(refuser.Internal, refuser.NotRun, "create the report: %v", err), 0)
		return
	}
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write(b.Bytes()) // The operator may have disconnected.
}

// metrics answers GET /metrics in the Prometheus text format.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) { Metrics(w, s.opts.Scope) }

// Metrics writes all metrics of the scope in the Prometheus text format.
func Metrics(w http.ResponseWriter, scope counter.Scope) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(prometheusText(scope.Snapshot())) // The client may have disconnected.
}

func marshalYAML(c declarer.Config) ([]byte, error) { return yaml.Marshal(c) }

// prometheusText returns the samples in the Prometheus text format, timers as
// summaries in seconds.
func prometheusText(samples []counter.Sample) []byte {
	var b bytes.Buffer
	last := ""
	for _, m := range samples {
		name := metricName(m.Name)
		timer := m.Count > 0
		if name != last {
			kind := "untyped"
			if timer {
				kind = "summary"
			}
			fmt.Fprintf(&b, "# TYPE %s %s\n", name, kind)
			last = name
		}
		if !timer {
			fmt.Fprintf(&b, "%s%s %s\n", name, formatLabels(m.Tags, ""), strconv.FormatFloat(m.Value, 'g', -1, 64))
			continue
		}
		fmt.Fprintf(&b, "%s%s %g\n", name, formatLabels(m.Tags, "0.5"), m.P50.Seconds())
		fmt.Fprintf(&b, "%s%s %g\n", name, formatLabels(m.Tags, "0.95"), m.P95.Seconds())
		fmt.Fprintf(&b, "%s%s %g\n", name, formatLabels(m.Tags, "0.99"), m.P99.Seconds())
		fmt.Fprintf(&b, "%s_count%s %d\n", name, formatLabels(m.Tags, ""), m.Count)
	}
	return b.Bytes()
}

// metricName replaces the characters that the text format does not allow in
// names by underscores.
func metricName(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, s)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

// formatLabels returns the label set of a sample; quantile may be empty.
func formatLabels(tags map[string]string, quantile string) string {
	pairs := make([]string, 0, len(tags)+1)
	for k, v := range tags {
		pairs = append(pairs, metricName(k)+`="`+labelEscaper.Replace(v)+`"`)
	}
	sort.Strings(pairs)
	if quantile != "" {
		pairs = append(pairs, `quantile="`+quantile+`"`)
	}
	if len(pairs) == 0 {
		return ""
	}
	return "{" + strings.Join(pairs, ",") + "}"
}
