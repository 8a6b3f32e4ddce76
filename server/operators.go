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

// OperatorHandler returns the handler of the operators' port.
func (s *Server) OperatorHandler() http.Handler {
	m := newMux()
	m.GET("/healthz", s.health)
	m.GET("/readyz", s.readiness)
	m.GET("/metrics", s.operated(s.metrics))
	m.GET("/config", s.operated(s.config))
	m.GET("/report", s.operated(s.report))
	return m
}

// operated wraps the handlers that need the operator key.
func (s *Server) operated(h http.HandlerFunc) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		if !s.isOperator(r) {
			refuse(w, refuser.New(refuser.Unauthorized, refuser.NotRun, "send the operator key as Authorization: Bearer KEY"), 0)
			return
		}
		h(w, r)
	}
}

// health answers GET /healthz: the process serves requests.
func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	fmt.Fprintln(w, "ok")
}

// readiness answers GET /readyz: the load balancer should send requests.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := s.ready(); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, err)
		return
	}
	fmt.Fprintln(w, "ready")
}

// config answers GET /config: the configuration in force.
func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	c := s.o.Views.Catalog()
	if c == nil {
		refuse(w, refuser.New(refuser.NotConfigured, refuser.NotRun, "%v", errNotConfigured), 0)
		return
	}
	text, err := s.o.Print(c.View.Config)
	if err != nil {
		refuse(w, refuser.New(refuser.Internal, refuser.NotRun, "print the configuration: %v", err), 0)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Foxtailwall-Version", strconv.FormatUint(c.View.Version, 10))
	_, _ = w.Write(text) // An operator that left gets nothing.
}

// reportTypes are the formats of GET /report.
var reportTypes = map[string]string{
	"text": "text/plain; charset=utf-8", "json": "application/json", "html": "text/html; charset=utf-8",
}

// report answers GET /report?format=FORMAT: how fast this host's workspaces
// burn their error budgets.
func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	format := r.URL.Query().Get("format")
	if format == "" {
		format = "text"
	}
	kind, ok := reportTypes[format]
	switch {
	case !ok:
		refuse(w, refuser.New(refuser.BadRequest, refuser.NotRun, "format is %q; allowed are text, json and html", format), 0)
		return
	case s.o.Report == nil:
		refuse(w, refuser.New(refuser.NotConfigured, refuser.NotRun, "this host has no data folder, so it records no counters"), 0)
		return
	}
	var b bytes.Buffer
	err := s.o.Report(&b, format)
	if re, ok := refuser.As(err); ok {
		refuse(w, re, 0)
		return
	}
	if err != nil {
		refuse(w, refuser.New(refuser.Internal, refuser.NotRun, "make the report: %v", err), 0)
		return
	}
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write(b.Bytes()) // An operator that left gets nothing.
}

// metrics answers GET /metrics in the Prometheus text form.
func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) { Metrics(w, s.o.Scope) }

// Metrics answers with all metrics of the scope in the Prometheus text form.
func Metrics(w http.ResponseWriter, scope counter.Scope) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// A caller that has left needs no metrics.
	_, _ = w.Write(exposition(scope.Snapshot()))
}

func printYAML(c declarer.Config) ([]byte, error) { return yaml.Marshal(c) }

// exposition returns the samples in the Prometheus text form, timers as
// summaries in seconds.
func exposition(samples []counter.Sample) []byte {
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
			fmt.Fprintf(&b, "%s%s %s\n", name, labels(m.Tags, ""), strconv.FormatFloat(m.Value, 'g', -1, 64))
			continue
		}
		fmt.Fprintf(&b, "%s%s %g\n", name, labels(m.Tags, "0.5"), m.P50.Seconds())
		fmt.Fprintf(&b, "%s%s %g\n", name, labels(m.Tags, "0.95"), m.P95.Seconds())
		fmt.Fprintf(&b, "%s%s %g\n", name, labels(m.Tags, "0.99"), m.P99.Seconds())
		fmt.Fprintf(&b, "%s_count%s %d\n", name, labels(m.Tags, ""), m.Count)
	}
	return b.Bytes()
}

// metricName replaces what the text form does not allow in names.
func metricName(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' {
			return r
		}
		return '_'
	}, s)
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)

func labels(tags map[string]string, quantile string) string {
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
