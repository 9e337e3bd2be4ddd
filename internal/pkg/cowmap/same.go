package cowmap

import "reflect"

// sameMap reports whether a and b are the same map, not only equal.
func sameMap[V any](a, b map[string]V) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}
