package cowmap

import "reflect"

// same tells whether two shards are one and the same map.
func same[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}
