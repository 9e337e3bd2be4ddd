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

// Folder models a folder of files under a store. After a loss of power each name that was made, replaced or removed since
// the folder's last sync stands for what it stood for at any time since then, by itself; and of each file any part of
// what was written to it since its own last sync is there.
//
// A process without power runs nothing any more: from the moment of the loss, no operation on the folder or on a file
// in it returns. Goroutines that call one stay blocked until the program ends, so the process under test must not share
// its goroutine with the test: see PowerLost.
type Folder struct {
	mu      sync.Mutex
	current map[string]*inode
	durable map[string]*inode
	changed map[string][]*inode // what a name stood for since the last sync, oldest first; nil: nothing
	left    int                 // operations until the power goes; below 0: it stays
	off     bool
	lost    chan struct{} // closed when the power goes
}

// inode is a file's content.
type inode struct {
	data   []byte
	synced int // bytes that are there for good
}

// NewFolder returns an empty folder.
func NewFolder() *Folder {
	return &Folder{current: map[string]*inode{}, durable: map[string]*inode{}, changed: map[string][]*inode{}, left: -1, lost: make(chan struct{})}
}

// PowerOffAfter takes the power away after so many more operations that change something or sync it.
func (f *Folder) PowerOffAfter(operations int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = operations
}

// PowerLost is closed when the power goes.
func (f *Folder) PowerLost() <-chan struct{} { return f.lost }

// Crash returns the folder as it may be found after a loss of power at this moment.
func (f *Folder) Crash(rng *rand.Rand) *Folder {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.powerOff()
	after := NewFolder()
	lossThirds := rng.IntN(4) // probability that a change that was not synced is lost, in thirds
	for name, node := range f.durable {
		after.current[name] = node
	}
	for name, nodes := range f.changed {
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

// crash returns what may be left of a file.
func (n *inode) crash(rng *rand.Rand) *inode {
	data := bytes.Clone(n.data[:n.synced+rng.IntN(len(n.data)-n.synced+1)])
	if torn := len(data) - n.synced; torn > 0 && rng.IntN(2) == 0 {
		clear(data[n.synced+rng.IntN(torn):]) // blocks that were given to the file, and not written
	}
	return &inode{data: data, synced: len(data)}
}

// powerOff takes the power away; the caller holds the lock.
func (f *Folder) powerOff() {
	if !f.off {
		f.off = true
		close(f.lost)
	}
}

// lockPowered takes the lock for an operation that changes nothing. It does not return once the power is gone.
func (f *Folder) lockPowered() {
	f.mu.Lock()
	if f.off {
		f.mu.Unlock()
		select {} // the process has no power
	}
}

// lockSpending takes the lock for an operation that changes or syncs something, and counts it. It does not return once
// the power is gone, which may be by this very operation.
func (f *Folder) lockSpending() {
	f.lockPowered()
	if f.left == 0 {
		f.powerOff()
		f.mu.Unlock()
		select {} // the process has no power
	}
	f.left--
}

// set gives a name another meaning; nil: none.
func (f *Folder) set(name string, node *inode) {
	f.changed[name] = append(f.changed[name], node)
	if node == nil {
		delete(f.current, name)
	} else {
		f.current[name] = node
	}
}

// Create implements store.Folder.
func (f *Folder) Create(name string) (store.File, error) {
	f.lockSpending()
	defer f.mu.Unlock()
	node := &inode{}
	f.set(name, node)
	return &file{folder: f, node: node}, nil
}

// Append implements store.Folder.
func (f *Folder) Append(name string) (store.File, error) {
	f.lockSpending()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		f.set(name, &inode{})
	}
	return &file{folder: f, node: f.current[name]}, nil
}

// Open implements store.Folder.
func (f *Folder) Open(name string) (store.File, error) {
	f.lockPowered()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		return nil, fs.ErrNotExist
	}
	return &file{folder: f, node: f.current[name]}, nil
}

// Rename implements store.Folder.
func (f *Folder) Rename(from, to string) error {
	f.lockSpending()
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
	f.lockSpending()
	defer f.mu.Unlock()
	if f.current[name] == nil {
		return fs.ErrNotExist
	}
	f.set(name, nil)
	return nil
}

// List implements store.Folder.
func (f *Folder) List() (names []string, err error) {
	f.lockPowered()
	defer f.mu.Unlock()
	for name := range f.current {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Sync implements store.Folder.
func (f *Folder) Sync() error {
	f.lockSpending()
	defer f.mu.Unlock()
	for name, nodes := range f.changed {
		if node := nodes[len(nodes)-1]; node != nil {
			f.durable[name] = node
		} else {
			delete(f.durable, name)
		}
	}
	clear(f.changed)
	return nil
}

// Close implements store.Folder.
func (f *Folder) Close() error { return nil }

// file is an open file.
type file struct {
	folder *Folder
	node   *inode
	at     int64 // of the next read
}

// Read implements io.Reader.
func (o *file) Read(p []byte) (int, error) {
	n, err := o.ReadAt(p, o.at)
	o.at += int64(n)
	if n > 0 {
		err = nil
	}
	return n, err
}

// ReadAt implements io.ReaderAt.
func (o *file) ReadAt(p []byte, at int64) (int, error) {
	o.folder.lockPowered()
	defer o.folder.mu.Unlock()
	if at >= int64(len(o.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, o.node.data[at:])
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
		o.at = offset
	case io.SeekCurrent:
		o.at += offset
	case io.SeekEnd:
		o.at = int64(len(o.node.data)) + offset
	}
	return o.at, nil
}

// Write implements io.Writer, at the file's end.
func (o *file) Write(p []byte) (int, error) {
	o.folder.lockSpending()
	defer o.folder.mu.Unlock()
	o.node.data = append(o.node.data, p...)
	return len(p), nil
}

// Sync makes what was written stay.
func (o *file) Sync() error {
	o.folder.lockSpending()
	defer o.folder.mu.Unlock()
	o.node.synced = len(o.node.data)
	return nil
}

// Close implements io.Closer.
func (o *file) Close() error { return nil }
