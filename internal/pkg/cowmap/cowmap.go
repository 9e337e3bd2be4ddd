// Package cowmap is an immutable map with string keys. An edited copy shares with its original all shards that the edit
// did not touch, so that a change costs what it changes, and two versions are compared without a look at what they share.
package cowmap

const shardCount = 256

// Map is one version. Its zero value is empty. Versions are safe for use by several goroutines.
type Map[V any] struct {
	shards *[shardCount]map[string]V // nil: empty
	length int
}

// shardOf is the FNV-1a hash of a key, so that the order of shards is alike in every process.
func shardOf[K ~string | ~[]byte](key K) int {
	h := uint32(2166136261)
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return int((h ^ h>>16) % shardCount)
}

// Len is the number of keys.
func (m Map[V]) Len() int { return m.length }

// Get returns the value of a key.
func (m Map[V]) Get(key string) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	value, ok = m.shards[shardOf(key)][key]
	return value, ok
}

// GetBytes is Get for a key that is no string yet; it does not allocate.
func (m Map[V]) GetBytes(key []byte) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	value, ok = m.shards[shardOf(key)][string(key)]
	return value, ok
}

// Each calls a function with every key and value, in no particular order.
func (m Map[V]) Each(visit func(key string, value V)) {
	if m.shards == nil {
		return
	}
	for _, shard := range m.shards {
		for key, value := range shard {
			visit(key, value)
		}
	}
}

// Edit begins a new version; the old one stays as it is.
func (m Map[V]) Edit() *Editor[V] { return &Editor[V]{m: m} }

// Editor makes a new version of a map. It is not for use by several goroutines.
type Editor[V any] struct {
	m     Map[V]
	owned [shardCount]bool // copied already, or new
	began bool
}

// shard returns the copy of a key's shard that may be written.
func (e *Editor[V]) shard(key string) map[string]V {
	if !e.began {
		shards := new([shardCount]map[string]V)
		if e.m.shards != nil {
			*shards = *e.m.shards
		}
		e.m.shards, e.began = shards, true
	}
	i := shardOf(key)
	if !e.owned[i] {
		old := e.m.shards[i]
		shard := make(map[string]V, len(old)+1)
		for k, v := range old {
			shard[k] = v
		}
		e.m.shards[i], e.owned[i] = shard, true
	}
	return e.m.shards[i]
}

// Get returns the value of a key, as edited so far.
func (e *Editor[V]) Get(key string) (value V, ok bool) { return e.m.Get(key) }

// Set gives a key a value.
func (e *Editor[V]) Set(key string, value V) {
	shard := e.shard(key)
	before := len(shard)
	shard[key] = value
	e.m.length += len(shard) - before
}

// Delete removes a key, if it is present.
func (e *Editor[V]) Delete(key string) {
	if _, ok := e.m.Get(key); !ok {
		return
	}
	delete(e.shard(key), key)
	e.m.length--
}

// Map returns the new version; the editor is not used after it.
func (e *Editor[V]) Map() Map[V] { return e.m }

// Change is what has become of one key. Without Had it is new, without Has it is gone.
type Change[V any] struct {
	Key      string
	Old, New V
	Had, Has bool
}

// Compare calls a function for the keys of all shards that two versions do not share; a key's value may be the same in
// both. The order of keys within a shard varies.
func Compare[V any](old, now Map[V], visit func(c Change[V])) {
	if old.shards == now.shards {
		return
	}
	var none [shardCount]map[string]V
	before, after := old.shards, now.shards
	if before == nil {
		before = &none
	}
	if after == nil {
		after = &none
	}
	for i := range before {
		if same(before[i], after[i]) {
			continue
		}
		for key, value := range after[i] {
			was, had := before[i][key]
			visit(Change[V]{Key: key, Old: was, New: value, Had: had, Has: true})
		}
		for key, was := range before[i] {
			if _, has := after[i][key]; !has {
				visit(Change[V]{Key: key, Old: was, Had: true})
			}
		}
	}
}
