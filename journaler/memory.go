package journaler

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
)

// sector is the unit in bytes in which a crash keeps or loses unsynced data.
const sector = 512

type (
	// Memory is a directory in memory for tests. Its zero value is empty.
	Memory struct {
		mu sync.Mutex
		// names is the directory as the process sees it, durable the one
		// that a crash leaves; pending are the changes between the two.
		names   map[string]*memoryData
		durable map[string]*memoryData
		pending []func(map[string]*memoryData)
		fault   func(op, name string) error
		syncs   int
		// generation invalidates the open files at a crash.
		generation int
	}

	// memoryData is the content of one file.
	memoryData struct {
		live   []byte
		synced []byte
	}

	memoryFile struct {
		fs         *Memory
		name       string
		data       *memoryData
		generation int
	}
)

// Fault makes f decide on the error of every later operation: "create",
// "open", "rename", "remove", "list", "syncDir", "write", "sync" or
// "truncate".
func (m *Memory) Fault(f func(op, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Syncs returns the number of file syncs so far.
func (m *Memory) Syncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash drops what was not synced: directory changes from some point on, and
// any of the unsynced sectors of each file, as rng decides. Files that were
// open fail from now on.
func (m *Memory) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	kept := cloneNames(m.durable)
	for _, change := range m.pending[:rng.IntN(len(m.pending)+1)] {
		change(kept)
	}
	for _, name := range sortedNames(kept) {
		d := kept[name]
		d.live = tear(rng, d)
		d.synced = slices.Clone(d.live)
	}
	m.names, m.durable, m.pending = kept, cloneNames(kept), nil
}

// Wipe removes everything, as a replaced disk does.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.names, m.durable, m.pending = nil, nil, nil
}

// Damage flips one bit of the file, synced content included.
func (m *Memory) Damage(name string, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.names[name]
	d.live[offset] ^= 1
	if offset < int64(len(d.synced)) {
		d.synced[offset] ^= 1
	}
}

// tear returns the content a crash leaves: a random length between the synced
// and the live one, in which each unsynced sector is either kept or zero.
func tear(rng *rand.Rand, d *memoryData) []byte {
	if len(d.live) <= len(d.synced) {
		return slices.Clone(d.synced)
	}
	end := len(d.synced) + rng.IntN(len(d.live)-len(d.synced)+1)
	out := append(slices.Clone(d.synced), d.live[len(d.synced):end]...)
	for at := len(d.synced); at < end; at = (at/sector + 1) * sector {
		if rng.IntN(2) == 0 {
			clear(out[at:min(end, (at/sector+1)*sector)])
		}
	}
	return out
}

// Create implements FS.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("create", name); err != nil {
		return nil, err
	}
	d := &memoryData{}
	m.change(func(names map[string]*memoryData) { names[name] = d })
	return &memoryFile{fs: m, name: name, data: d, generation: m.generation}, nil
}

// Open implements FS.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("open", name); err != nil {
		return nil, err
	}
	d, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memoryFile{fs: m, name: name, data: d, generation: m.generation}, nil
}

// Rename implements FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("rename", from); err != nil {
		return err
	}
	d, ok := m.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	m.change(func(names map[string]*memoryData) {
		delete(names, from)
		names[to] = d
	})
	return nil
}

// Remove implements FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("remove", name); err != nil {
		return err
	}
	if _, ok := m.names[name]; !ok {
		return fs.ErrNotExist
	}
	m.change(func(names map[string]*memoryData) { delete(names, name) })
	return nil
}

// List implements FS.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("list", ""); err != nil {
		return nil, err
	}
	return sortedNames(m.names), nil
}

// Sync implements FS.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.check("syncDir", ""); err != nil {
		return err
	}
	m.durable, m.pending = cloneNames(m.names), nil
	return nil
}

func (m *Memory) check(op, name string) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(op, name)
}

func (m *Memory) change(f func(map[string]*memoryData)) {
	if m.names == nil {
		m.names = make(map[string]*memoryData)
	}
	f(m.names)
	m.pending = append(m.pending, f)
}

// Write implements io.Writer.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("write"); err != nil {
		return 0, err
	}
	f.data.live = append(f.data.live, p...)
	return len(p), nil
}

// ReadAll implements File.
func (f *memoryFile) ReadAll() ([]byte, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("read"); err != nil {
		return nil, err
	}
	return slices.Clone(f.data.live), nil
}

// Truncate implements File.
func (f *memoryFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("truncate"); err != nil {
		return err
	}
	f.data.live = f.data.live[:size:size]
	return nil
}

// Sync implements File.
func (f *memoryFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("sync"); err != nil {
		return err
	}
	f.fs.syncs++
	f.data.synced = slices.Clone(f.data.live)
	return nil
}

// Close implements io.Closer.
func (f *memoryFile) Close() error { return nil }

func (f *memoryFile) check(op string) error {
	if f.generation != f.fs.generation {
		return fs.ErrClosed
	}
	return f.fs.check(op, f.name)
}

func cloneNames(in map[string]*memoryData) map[string]*memoryData {
	out := make(map[string]*memoryData, len(in))
	for n, d := range in {
		out[n] = d
	}
	return out
}

func sortedNames(in map[string]*memoryData) []string {
	names := make([]string, 0, len(in))
	for n := range in {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
