package cowmap

import "reflect"

// same reports whether two shards are one and the same map.
func same[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}
