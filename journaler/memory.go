package journaler

import (
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
)

// sectorBytes is the unit in which a crash keeps or loses unsynced data.
const sectorBytes = 512

type (
	// Memory is an FS in memory for tests. Its zero value is an empty directory.
	Memory struct {
		mu sync.Mutex
		// current is the directory as the process sees it, durable is what a crash
		// preserves, and pending are the changes between the two.
		current map[string]*memoryData
		durable map[string]*memoryData
		pending []func(map[string]*memoryData)
		fault   func(op, name string) error
		syncs   int
		// limited says that at most room further bytes can be written.
		limited bool
		room    int
		// openFiles is the number of files that have not been closed.
		openFiles int
		// generation changes at a crash or wipe, which invalidates the open files.
		generation int
	}

	// memoryData is the content of one file, as written and as last synced.
	memoryData struct {
		written []byte
		synced  []byte
	}

	memoryFile struct {
		fs         *Memory
		name       string
		data       *memoryData
		generation int
		closed     bool
	}
)

// SetFault makes every later operation call f and fail with its error. op is
// "create", "open", "rename", "remove", "list", "syncDir", "read", "write",
// "sync" or "truncate". A nil f ends the faults.
func (m *Memory) SetFault(f func(op, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Fill leaves room for the given number of bytes. A write beyond it is stored in part
// and fails with ENOSPC, as on a full disk.
func (m *Memory) Fill(room int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limited, m.room = true, room
}

// Empty ends the effect of Fill.
func (m *Memory) Empty() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limited = false
}

// OpenFiles returns the number of files that are open.
func (m *Memory) OpenFiles() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.openFiles
}

// FileSyncs returns the number of file syncs so far.
func (m *Memory) FileSyncs() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncs
}

// Crash discards unsynced data: the directory changes from a random point on
// and random unsynced sectors of each file, as rng decides. Open files fail
// afterwards.
func (m *Memory) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	recovered := cloneNames(m.durable)
	for _, change := range m.pending[:rng.IntN(len(m.pending)+1)] {
		change(recovered)
	}
	for _, name := range sortedNames(recovered) {
		d := recovered[name]
		d.written = tornContent(rng, d)
		d.synced = slices.Clone(d.written)
	}
	m.current, m.durable, m.pending = recovered, cloneNames(recovered), nil
}

// Wipe removes all files, as replacing the disk does.
func (m *Memory) Wipe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.current, m.durable, m.pending = nil, nil, nil
}

// FlipBit flips one bit of the byte at offset, in the file's synced content
// too.
func (m *Memory) FlipBit(name string, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.current[name]
	d.written[offset] ^= 1
	if offset < int64(len(d.synced)) {
		d.synced[offset] ^= 1
	}
}

// tornContent returns the content after a crash: its length is random, from the
// synced to the written one, and each unsynced sector is either kept or zeroed.
func tornContent(rng *rand.Rand, d *memoryData) []byte {
	if len(d.written) <= len(d.synced) {
		return slices.Clone(d.synced)
	}
	end := len(d.synced) + rng.IntN(len(d.written)-len(d.synced)+1)
	out := append(slices.Clone(d.synced), d.written[len(d.synced):end]...)
	for at := len(d.synced); at < end; at = (at/sectorBytes + 1) * sectorBytes {
		if rng.IntN(2) == 0 {
			clear(out[at:min(end, (at/sectorBytes+1)*sectorBytes)])
		}
	}
	return out
}

// Create implements FS.
func (m *Memory) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError("create", name); err != nil {
		return nil, err
	}
	d := &memoryData{}
	m.applyChange(func(names map[string]*memoryData) { names[name] = d })
	return m.newFile(name, d), nil
}

// Open implements FS.
func (m *Memory) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError("open", name); err != nil {
		return nil, err
	}
	d, ok := m.current[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return m.newFile(name, d), nil
}

// newFile opens a file with the data. The caller holds mu.
func (m *Memory) newFile(name string, d *memoryData) *memoryFile {
	m.openFiles++
	return &memoryFile{fs: m, name: name, data: d, generation: m.generation}
}

// Rename implements FS.
func (m *Memory) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError("rename", from); err != nil {
		return err
	}
	d, ok := m.current[from]
	if !ok {
		return fs.ErrNotExist
	}
	m.applyChange(func(names map[string]*memoryData) {
		delete(names, from)
		names[to] = d
	})
	return nil
}

// Remove implements FS.
func (m *Memory) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError("remove", name); err != nil {
		return err
	}
	if _, ok := m.current[name]; !ok {
		return fs.ErrNotExist
	}
	m.applyChange(func(names map[string]*memoryData) { delete(names, name) })
	return nil
}

// List implements FS.
func (m *Memory) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError("list", ""); err != nil {
		return nil, err
	}
	return sortedNames(m.current), nil
}

// Sync implements FS.
func (m *Memory) Sync() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.injectedError("syncDir", ""); err != nil {
		return err
	}
	m.durable, m.pending = cloneNames(m.current), nil
	return nil
}

func (m *Memory) injectedError(op, name string) error {
	if m.fault == nil {
		return nil
	}
	return m.fault(op, name)
}

func (m *Memory) applyChange(f func(map[string]*memoryData)) {
	if m.current == nil {
		m.current = make(map[string]*memoryData)
	}
	f(m.current)
	m.pending = append(m.pending, f)
}

// Write implements io.Writer.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("write"); err != nil {
		return 0, err
	}
	if f.fs.limited && len(p) > f.fs.room {
		n := max(f.fs.room, 0)
		f.data.written = append(f.data.written, p[:n]...)
		f.fs.room = 0
		return n, syscall.ENOSPC
	}
	f.fs.room -= len(p)
	f.data.written = append(f.data.written, p...)
	return len(p), nil
}

// ReadAll implements File.
func (f *memoryFile) ReadAll() ([]byte, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("read"); err != nil {
		return nil, err
	}
	return slices.Clone(f.data.written), nil
}

// Truncate implements File.
func (f *memoryFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.check("truncate"); err != nil {
		return err
	}
	f.data.written = f.data.written[:size:size]
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
	f.data.synced = slices.Clone(f.data.written)
	return nil
}

// Close implements io.Closer.
func (f *memoryFile) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if !f.closed {
		f.closed = true
		f.fs.openFiles--
	}
	return nil
}

func (f *memoryFile) check(op string) error {
	if f.generation != f.fs.generation {
		return fs.ErrClosed
	}
	return f.fs.injectedError(op, f.name)
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
