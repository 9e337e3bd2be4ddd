package simdisk

import (
	"bytes"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"

	"ivydeck/internal/controlplane/store"
)

// Folder models a folder of files under a store, and its power loss. A name that was created, replaced or removed after
// the folder's last Sync may refer, independently of other names, to any file that it referred to since that Sync. A
// file keeps its synced bytes and a prefix of the bytes written after its own last Sync; the end of this prefix may be
// zeros.
//
// After the power loss no operation on the folder or its files returns, except Seek and Close. Goroutines that call one
// block until the program ends, so a test runs the process under test in another goroutine and waits for PowerLost.
type Folder struct {
	mu             sync.Mutex
	current        map[string]*inode
	durable        map[string]*inode   // as of the last Sync
	unsynced       map[string][]*inode // files that a name referred to since the last Sync, oldest first; nil after a removal
	operationsLeft int                 // writes and syncs before the power loss; negative if none is scheduled
	poweredOff     bool
	powerLost      chan struct{} // closed at the power loss
}

// inode is a file's content.
type inode struct {
	data   []byte
	synced int // length of the durable prefix of data, in bytes
}

// NewFolder returns an empty folder without a scheduled power loss.
func NewFolder() *Folder {
	return &Folder{current: map[string]*inode{}, durable: map[string]*inode{}, unsynced: map[string][]*inode{}, operationsLeft: -1, powerLost: make(chan struct{})}
}

// PowerOffAfter lets the given number of further writes and syncs complete; the next one triggers the power loss.
func (f *Folder) PowerOffAfter(operations int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.operationsLeft = operations
}

// PowerLost returns a channel that is closed at the power loss.
func (f *Folder) PowerLost() <-chan struct{} { return f.powerLost }

// Crash turns the power off and returns a possible state of the folder after it is back. All data in it is durable.
func (f *Folder) Crash(rng *rand.Rand) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerOff()
	after := NewFolder()
	lossThirds := rng.IntN(4) // probability that unsynced changes of a name are lost, in thirds
	for name, node := range f.durable {
		after.current[name] = node
	}
	for name, nodes := range f.unsynced {
		node := nodes[len(nodes)-1]
		if rng.IntN(3) < lossThirds {
			states := append([]*inode{f.durable[name]}, nodes...)
			node = states[rng.IntN(len(states))]
		}
		after.current[name] = node
	}
	copies := map[*inode]*inode{}
	for name, node := range after.current {
		if node == nil {
			delete(after.current, name)
			continue
		}
		if copies[node] == nil {
			copies[node] = node.crash(rng)
		}
		after.current[name], after.durable[name] = copies[node], copies[node]
	}
	return after
}

// crash returns a possible state of the file after a power loss.
func (n *inode) crash(rng *rand.Rand) *inode {
	data := bytes.Clone(n.data[:n.synced+rng.IntN(len(n.data)-n.synced+1)])
	if unsynced := len(data) - n.synced; unsynced > 0 && rng.IntN(2) == 0 {
		clear(data[n.synced+rng.IntN(unsynced):]) // blocks that were allocated but not written
	}
	return &inode{data: data, synced: len(data)}
}

// powerOff turns the power off. The caller holds f.mu.
func (f *Folder) powerOff() {
	if !f.poweredOff {
		f.poweredOff = true
		close(f.powerLost)
	}
}

// lockForRead locks f.mu for an operation without changes. It blocks forever after a power loss.
func (f *Folder) lockForRead() {
	f.mu.Lock()
	if f.poweredOff {
		f.mu.Unlock()
		select {} // the process has no power
	}
}

// lockForWrite locks f.mu for an operation that changes or syncs data, and counts the operation. It blocks forever after
// a power loss, which the operation itself may trigger.
func (f *Folder) lockForWrite() {
	f.lockForRead()
	if f.operationsLeft == 0 {
		f.powerOff()
		f.mu.Unlock()
		select {} // the process has no power
	}
	f.operationsLeft--
}

// set binds a name to a file, or removes the name if node is nil.
func (f *Folder) set(name string, node *inode) {
	f.unsynced[name] = append(f.unsynced[name], node)
	if node == nil {
		delete(f.current, name)
	} else {
		f.current[name] = node
	}
}

// Create implements store.Folder.
func (f *Folder) Create(name string) (store.File, error) {
	f.lockForWrite()
	defer f.mu.Unlock()
	node := &inode{}
	f.set(name, node)
	return &file{folder: f, node: node}, nil
}

// Append implements store.Folder.
func (f *Folder) Append(name string) (store.File, error) {
	f.lockForWrite()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		f.set(name, &inode{})
	}
	return &file{folder: f, node: f.current[name]}, nil
}

// Open implements store.Folder.
func (f *Folder) Open(name string) (store.File, error) {
	f.lockForRead()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &file{folder: f, node: f.current[name]}, nil
}

// Rename implements store.Folder.
func (f *Folder) Rename(from, to string) error {
	f.lockForWrite()
	defer f.mu.Unlock()
	node := f.current[from]
	if node == nil {
		return fs.ErrNotExist
	}
	f.set(to, node)
	f.set(from, nil)
	return nil
}

// Remove implements store.Folder.
func (f *Folder) Remove(name string) error {
	f.lockForWrite()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		return fs.ErrNotExist
	}
	f.set(name, nil)
	return nil
}

// List implements store.Folder.
func (f *Folder) List() (names []string, err error) {
	f.lockForRead()
	defer f.mu.Unlock()
	for name := range f.current {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Sync implements store.Folder.
func (f *Folder) Sync() error {
	f.lockForWrite()
	defer f.mu.Unlock()
	for name, nodes := range f.unsynced {
		if node := nodes[len(nodes)-1]; node != nil {
			f.durable[name] = node
		} else {
			delete(f.durable, name)
		}
	}
	clear(f.unsynced)
	return nil
}

// Close implements store.Folder. It does nothing.
func (f *Folder) Close() error { return nil }

// file is an open file.
type file struct {
	folder *Folder
	node   *inode
	offset int64 // position of the next read
}

// Read implements io.Reader.
func (o *file) Read(p []byte) (int, error) {
	n, err := o.ReadAt(p, o.offset)
	o.offset += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

// ReadAt implements io.ReaderAt.
func (o *file) ReadAt(p []byte, offset int64) (int, error) {
	o.folder.lockForRead()
	defer o.folder.mu.Unlock()
	if offset >= int64(len(o.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, o.node.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Seek implements io.Seeker.
func (o *file) Seek(offset int64, whence int) (int64, error) {
	o.folder.mu.Lock()
	defer o.folder.mu.Unlock()
	switch whence {
	case io.SeekStart:
		o.offset = offset
	case io.SeekCurrent:
		o.offset += offset
	case io.SeekEnd:
		o.offset = int64(len(o.node.data)) + offset
	}
	return o.offset, nil
}

// Write implements io.Writer. It appends to the file.
func (o *file) Write(p []byte) (int, error) {
	o.folder.lockForWrite()
	defer o.folder.mu.Unlock()
	o.node.data = append(o.node.data, p...)
	return len(p), nil
}

// Sync makes all bytes written so far durable.
func (o *file) Sync() error {
	o.folder.lockForWrite()
	defer o.folder.mu.Unlock()
	o.node.synced = len(o.node.data)
	return nil
}

// Close implements io.Closer. It does nothing.
func (o *file) Close() error { return nil }
