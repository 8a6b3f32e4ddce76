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

// maxLine bounds one line of a record, in bytes.
const maxLine = 16 << 20

type (
	// Series holds how counters grew. Its zero value is empty.
	Series struct {
		last   map[string]float64
		growth map[string]*growth
		// Torn counts lines that could not be decoded, as the last line of a
		// host that lost power.
		Torn int
	}

	// growth is how one counter grew, over all hosts.
	growth struct {
		name   string
		tags   map[string]string
		points []point
		sorted bool
	}

	point struct {
		at    time.Time
		delta float64
	}
)

// Read adds the lines of one host's record, oldest first.
func (s *Series) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var l line
		if json.Unmarshal(lines.Bytes(), &l) != nil {
			s.Torn++
			continue
		}
		s.add(l)
	}
	return errors.Wrap(lines.Err(), "read the record of counters")
}

// add adds one line. A counter that is lower than before, or the first line of
// a process, means that it began again at 0.
func (s *Series) add(l line) {
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
		g.points, g.sorted = append(g.points, point{l.At, delta}), false
	}
}

// End returns the time of the newest growth, or the zero time.
func (s *Series) End() time.Time {
	var end time.Time
	for _, g := range s.growth {
		for _, p := range g.points {
			if p.at.After(end) {
				end = p.at
			}
		}
	}
	return end
}

// workspaces returns the values of the tag, sorted.
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

// find returns the counters with that name, under any prefix, of the
// workspace, without those with an ignored code.
func (s *Series) find(name, workspace string, ignore []refuser.Code) []*growth {
	var out []*growth
	for _, g := range s.growth {
		if g.name != name && !strings.HasSuffix(g.name, "."+name) || g.tags[tagWorkspace] != workspace {
			continue
		}
		if slices.Contains(ignore, refuser.Code(g.tags[tagCode])) {
			continue
		}
		if !g.sorted {
			slices.SortStableFunc(g.points, func(a, b point) int { return a.at.Compare(b.at) })
			g.sorted = true
		}
		out = append(out, g)
	}
	return out
}

// sum returns the growth after from and no later than to.
func (g *growth) sum(from, to time.Time) float64 {
	i := sort.Search(len(g.points), func(i int) bool { return g.points[i].at.After(from) })
	var sum float64
	for ; i < len(g.points) && !g.points[i].at.After(to); i++ {
		sum += g.points[i].delta
	}
	return sum
}

func sumAll(gs []*growth, from, to time.Time) float64 {
	var sum float64
	for _, g := range gs {
		sum += g.sum(from, to)
	}
	return sum
}

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
