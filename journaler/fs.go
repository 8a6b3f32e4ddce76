package journaler

import (
	"encoding/binary"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// tempSuffix marks a file that WriteFile has not renamed yet.
	tempSuffix = ".tmp"

	dirMode       = 0o750
	fileMode      = 0o640
	checksumBytes = 8
)

type (
	// FS is one directory without subdirectories.
	FS interface {
		// Create creates an empty file, replacing any file of that name.
		Create(name string) (File, error)
		// Open opens an existing file. If there is none, the error matches
		// fs.ErrNotExist.
		Open(name string) (File, error)
		Rename(from, to string) error
		Remove(name string) error
		List() ([]string, error)
		// Sync makes creations, renames and removals durable.
		Sync() error
	}

	// File is an open file. Writes are appended and are durable only once Sync
	// has returned.
	File interface {
		io.Writer
		io.Closer
		ReadAll() ([]byte, error)
		Truncate(size int64) error
		Sync() error
	}

	// OS is an FS on a directory of the operating system.
	OS struct{ dir string }

	osFile struct{ *os.File }
)

// NewOS returns an FS for the directory dir, which it creates if needed.
func NewOS(dir string) (*OS, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	if err := syncDir(filepath.Dir(dir)); err != nil {
		return nil, errors.Wrap(err, "sync the parent of the data directory")
	}
	return &OS{dir: dir}, nil
}

// Create implements FS.
func (o *OS) Create(name string) (File, error) {
	return openFile(filepath.Join(o.dir, name), os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (o *OS) Open(name string) (File, error) { return openFile(filepath.Join(o.dir, name), 0) }

// Rename implements FS.
func (o *OS) Rename(from, to string) error {
	return os.Rename(filepath.Join(o.dir, from), filepath.Join(o.dir, to))
}

// Remove implements FS.
func (o *OS) Remove(name string) error { return os.Remove(filepath.Join(o.dir, name)) }

// List implements FS.
func (o *OS) List() ([]string, error) {
	es, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(es))
	for _, e := range es {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Sync implements FS.
func (o *OS) Sync() error { return syncDir(o.dir) }

// ReadAll implements File.
func (f osFile) ReadAll() ([]byte, error) {
	st, err := f.Stat()
	if err != nil {
		return nil, err
	}
	b := make([]byte, st.Size())
	n, err := f.ReadAt(b, 0)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return b[:n], err
}

func openFile(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND|flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// WriteFile replaces the file with data, protected by a checksum, and returns
// once it is durable. A crash leaves either the old or the new content.
func WriteFile(fs FS, name string, data []byte) error {
	temp := name + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return errors.Wrapf(err, "create %q", temp)
	}
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, checksumBytes+len(data)), xxhash.Sum64(data))
	if _, err := f.Write(append(b, data...)); err != nil {
		f.Close()
		return errors.Wrapf(err, "write %q", temp)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return errors.Wrapf(err, "sync %q", temp)
	}
	if err := f.Close(); err != nil {
		return errors.Wrapf(err, "close %q", temp)
	}
	if err := fs.Rename(temp, name); err != nil {
		return errors.Wrapf(err, "rename %q", temp)
	}
	return errors.Wrap(fs.Sync(), "sync directory")
}

// ReadFile returns the content that WriteFile stored, and whether the file
// exists. It returns a *CorruptError if the content is damaged.
func ReadFile(dir FS, name string) (data []byte, ok bool, err error) {
	f, err := dir.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, errors.Wrapf(err, "open %q", name)
	}
	defer f.Close()
	b, err := f.ReadAll()
	if err != nil {
		return nil, false, errors.Wrapf(err, "read %q", name)
	}
	if len(b) < checksumBytes || binary.LittleEndian.Uint64(b) != xxhash.Sum64(b[checksumBytes:]) {
		return nil, false, &CorruptError{File: name, Reason: "the checksum does not match"}
	}
	return b[checksumBytes:], true, nil
}
