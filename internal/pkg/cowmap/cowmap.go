// Package cowmap implements an immutable, copy-on-write map with string keys. The map is split into shards. An edited version
// shares all unmodified shards with its original: an edit copies only the shards that it modifies, and Compare skips shared
// shards.
package cowmap

const shardCount = 256

// Map is an immutable version of the map. The zero value is empty. It is safe for concurrent use.
type Map[V any] struct {
	shards *[shardCount]map[string]V // nil if the map was never edited
	length int
}

// shardOf returns the shard index of a key, by its FNV-1a hash. It is the same in every process.
func shardOf[K ~string | ~[]byte](key K) int {
	h := uint32(2166136261)
	for i := range len(key) {
		h = (h ^ uint32(key[i])) * 16777619
	}
	return int((h ^ h>>16) % shardCount)
}

// Len returns the number of keys.
func (m Map[V]) Len() int { return m.length }

// Get returns the value of a key, and whether the key is present.
func (m Map[V]) Get(key string) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	value, ok = m.shards[shardOf(key)][key]
	return value, ok
}

// GetBytes is Get for a key in a byte slice. It does not allocate.
func (m Map[V]) GetBytes(key []byte) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	value, ok = m.shards[shardOf(key)][string(key)]
	return value, ok
}

// Each calls visit for every key, in unspecified order.
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

// Edit returns an editor for a new version. It does not modify m.
func (m Map[V]) Edit() *Editor[V] { return &Editor[V]{m: m} }

// Editor builds a new version of a map. It is not safe for concurrent use.
type Editor[V any] struct {
	m      Map[V]
	owned  [shardCount]bool // the shard is a private copy
	cloned bool             // the array of shards is a private copy
}

// shard returns the editor's private copy of a key's shard, which it creates on first use.
func (e *Editor[V]) shard(key string) map[string]V {
	if !e.cloned {
		shards := new([shardCount]map[string]V)
		if e.m.shards != nil {
			*shards = *e.m.shards
		}
		e.m.shards, e.cloned = shards, true
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

// Get returns the value of a key with the edits so far.
func (e *Editor[V]) Get(key string) (value V, ok bool) { return e.m.Get(key) }

// Set sets the value of a key.
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

// Map returns the new version. The editor must not be used afterwards.
func (e *Editor[V]) Map() Map[V] { return e.m }

// Change holds the values of a key in two versions. InOld and InNew report whether the versions contain the key.
type Change[V any] struct {
	Key          string
	Old, New     V
	InOld, InNew bool
}

// Compare calls visit for every key in the shards that two versions do not share. The key may have the same value in both. The
// order of keys within a shard is unspecified.
func Compare[V any](old, updated Map[V], visit func(c Change[V])) {
	if old.shards == updated.shards {
		return
	}
	var empty [shardCount]map[string]V
	before, after := old.shards, updated.shards
	if before == nil {
		before = &empty
	}
	if after == nil {
		after = &empty
	}
	for i := range before {
		if sameMap(before[i], after[i]) {
			continue
		}
		for key, value := range after[i] {
			oldValue, inOld := before[i][key]
			visit(Change[V]{Key: key, Old: oldValue, New: value, InOld: inOld, InNew: true})
		}
		for key, oldValue := range before[i] {
			if _, inNew := after[i][key]; !inNew {
				visit(Change[V]{Key: key, Old: oldValue, InOld: true})
			}
		}
	}
}
