package meshconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
)

// TestJSONKeys checks the keys of ivydeckctl config read --output json, which are frozen because operators' programs read them.
func TestJSONKeys(t *testing.T) {
	keys := func(v any) []string {
		t.Helper()
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		var object map[string]any
		if err := json.Unmarshal(data, &object); err != nil {
			t.Fatal(err)
		}
		return slices.Sorted(maps.Keys(object))
	}
	for _, c := range []struct {
		name  string
		value any
		want  []string
	}{
		{"configuration", Config{}, []string{"Backends", "Limits", "Revision", "Routes"}},
		{"route", Route{}, []string{"AimMs", "Backend", "Backends", "Host", "Kind", "MaxAttempts", "Name", "Prefix", "Priority", "TimeoutMs"}},
	} {
		if got := keys(c.value); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
