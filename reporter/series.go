package reporter

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/counter"
	"foxtailwall/refuser"
)

// maxLineBytes is the maximum length of a line in a counter file, in bytes.
const maxLineBytes = 16 << 20

type (
	// Series holds the growth of counters over time, read from counter files.
	// The zero value is empty.
	Series struct {
		// last holds the last value of each counter of each host.
		last map[string]float64
		// growth holds the growth of each counter, summed over all hosts.
		growth map[string]*growth
		// Torn is the number of lines that could not be decoded, for
		// example a partly written last line after a power failure.
		Torn int
	}

	// growth holds the increases of one counter on all hosts.
	growth struct {
		name      string
		tags      map[string]string
		increases []increase
		sorted    bool
	}

	// increase is the increase of a counter between two lines.
	increase struct {
		at    time.Time
		delta float64
	}
)

// Read adds the lines of a counter file, which must be sorted by time. Files of
// the same host are read oldest first.
func (s *Series) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var l counterLine
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			s.Torn++
			continue
		}
		s.addLine(l)
	}
	return errors.Wrap(lines.Err(), "read a counter file")
}

// addLine adds the increases of one line. Counters restart at 0 in the first
// line of a process; a counter that is lower than before has also restarted.
func (s *Series) addLine(l counterLine) {
	if s.growth == nil {
		s.growth, s.last = make(map[string]*growth), make(map[string]float64)
	}
	if l.Start {
		for k := range s.last {
			if strings.HasPrefix(k, l.Host+"\x00") {
				delete(s.last, k)
			}
		}
	}
	for _, c := range l.Samples {
		k := seriesKey(l.Host, c)
		delta := c.Value - s.last[k]
		if delta < 0 {
			delta = c.Value
		}
		s.last[k] = c.Value
		if delta == 0 {
			continue
		}
		all := seriesKey("", c)
		g := s.growth[all]
		if g == nil {
			g = &growth{name: c.Name, tags: c.Tags}
			s.growth[all] = g
		}
		g.increases, g.sorted = append(g.increases, increase{l.At, delta}), false
	}
}

// End returns the time of the last increase of any counter, or the zero time if
// there is none.
func (s *Series) End() time.Time {
	var end time.Time
	for _, g := range s.growth {
		for _, p := range g.increases {
			if p.at.After(end) {
				end = p.at
			}
		}
	}
	return end
}

// workspaces returns the names of all workspaces, sorted.
func (s *Series) workspaces() []string {
	var out []string
	for _, g := range s.growth {
		if w := g.tags[tagWorkspace]; w != "" && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	slices.Sort(out)
	return out
}

// counters returns the growth of the workspace's counters with the name, under
// any prefix, except those with an ignored code.
func (s *Series) counters(name, workspace string, ignore []refuser.Code) []*growth {
	var out []*growth
	for _, g := range s.growth {
		if g.name != name && !strings.HasSuffix(g.name, "."+name) || g.tags[tagWorkspace] != workspace {
			continue
		}
		if slices.Contains(ignore, refuser.Code(g.tags[tagCode])) {
			continue
		}
		if !g.sorted {
			slices.SortStableFunc(g.increases, func(a, b increase) int { return a.at.Compare(b.at) })
			g.sorted = true
		}
		out = append(out, g)
	}
	return out
}

// between returns the increase after from and up to and including to.
func (g *growth) between(from, to time.Time) float64 {
	i := sort.Search(len(g.increases), func(i int) bool { return g.increases[i].at.After(from) })
	var sum float64
	for ; i < len(g.increases) && !g.increases[i].at.After(to); i++ {
		sum += g.increases[i].delta
	}
	return sum
}

// sumBetween returns the sum of the increases of all counters.
func sumBetween(gs []*growth, from, to time.Time) float64 {
	var sum float64
	for _, g := range gs {
		sum += g.between(from, to)
	}
	return sum
}

// seriesKey returns a map key of the host, name and tags of a sample.
func seriesKey(host string, s counter.Sample) string {
	names := make([]string, 0, len(s.Tags))
	for t := range s.Tags {
		names = append(names, t)
	}
	slices.Sort(names)
	var b strings.Builder
	b.WriteString(host + "\x00" + s.Name)
	for _, t := range names {
		b.WriteString("\x00" + t + "=" + s.Tags[t])
	}
	return b.String()
}
