package meshconfig

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Bounds on the cost of one Parse. A quorum member with 280 MiB of memory must stay far below it with the largest body.
const (
	maxParseMemory = 96 << 20 // bytes of heap and stack, freed memory included
	maxParseTime   = 10 * time.Second
)

// Bytes of MessagePack.
const (
	arrayOfOne   = "\x91"
	mapOfOne     = "\x81\xa0"         // with the key ""
	keyOfMap     = "\x81"             // the key is the next value
	emptyMap     = "\x80"             // a struct without fields
	array32      = "\xdd"             // followed by the number of elements, as 4 bytes
	hugeCount    = "\xff\xff\xff\xff" // 4,294,967,295
	string32     = "\xdb"             // followed by the length, as 4 bytes
	unknownField = "\xa2zz"
)

// withRaw returns validBody with one more field, whose value is given as bytes, in the struct that follows a marker: the
// encoded name of the struct's first field.
func withRaw(t testing.TB, change func(m, route map[string]any), placeholder, raw string) []byte {
	t.Helper()
	body := validBody(t, change)
	encoded, err := msgpack.Marshal(placeholder)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Count(body, encoded) != 1 {
		t.Fatalf("the placeholder %q occurs %d times", placeholder, bytes.Count(body, encoded))
	}
	return bytes.Replace(body, encoded, []byte(raw), 1)
}

// placeholder is a value that withRaw replaces.
const placeholder = "placeholder"

// placements set a placeholder as the value of an unknown field of each struct of a configuration.
var placements = map[string]func(m, route map[string]any){
	"configuration": func(m, _ map[string]any) { m["zz"] = placeholder },
	"route":         func(_, r map[string]any) { r["zz"] = placeholder },
	"backend": func(m, _ map[string]any) {
		m["backend_table"] = []map[string]any{{"name": "s", "zz": placeholder}}
	},
	"limits": func(m, _ map[string]any) { m["request_limits"] = map[string]any{"zz": placeholder} },
	"weighted backend": func(_, r map[string]any) {
		r["backend"] = ""
		r["weighted_backends"] = []map[string]any{{"backend": "s", "weight": 1, "zz": placeholder}}
	},
}

// parseCost parses a body in a goroutine of its own and returns the memory that this took, in bytes, and the time.
func parseCost(body []byte) (memory uint64, took time.Duration, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		_, err = Parse(body)
		took = time.Since(start)
		runtime.ReadMemStats(&after)
		memory = after.TotalAlloc - before.TotalAlloc
		if after.StackSys > before.StackSys {
			memory += after.StackSys - before.StackSys
		}
	}()
	<-done
	return memory, took, err
}

// checkRejected checks that a body is rejected with an error that contains a text, within the bounds on the cost.
func checkRejected(t *testing.T, body []byte, want string) {
	t.Helper()
	memory, took, err := parseCost(body)
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %.200v, want one with %q", err, want)
	}
	if err != nil && len(err.Error()) > maxErrorBytes {
		t.Errorf("the error has %d bytes, want at most %d", len(err.Error()), maxErrorBytes)
	}
	if memory > maxParseMemory || took > maxParseTime {
		t.Errorf("%d bytes took %d MiB and %v, want at most %d MiB and %v", len(body), memory>>20, took, maxParseMemory>>20, maxParseTime)
	}
}

// maxErrorBytes bounds the text of an error, which is sent to the operator.
const maxErrorBytes = 64 << 10

// TestNestedConfigurationIsBounded guards against a configuration that takes a process over its memory by nested values: each
// level took a stack frame of the decoder.
func TestNestedConfigurationIsBounded(t *testing.T) {
	const depth = 2_000_000
	for place, change := range placements {
		for kind, level := range map[string]string{"arrays": arrayOfOne, "maps": mapOfOne, "keys": keyOfMap} {
			t.Run(place+"/"+kind, func(t *testing.T) {
				want := "nested more than 1000 levels"
				checkRejected(t, withRaw(t, change, placeholder, strings.Repeat(level, depth)), want)
				closed := strings.Repeat(level, depth) + "\xc0"
				if kind == "keys" {
					closed += strings.Repeat("\xc0", depth)
				}
				checkRejected(t, withRaw(t, change, placeholder, closed), want)
			})
		}
	}
	body := withRaw(t, placements["configuration"], placeholder, strings.Repeat(arrayOfOne, 4_000_000))
	cut := body[:bytes.Index(body, []byte(unknownField))+len(unknownField)+3_900_000]
	checkRejected(t, cut, "nested more than 1000 levels")
}

// TestAnnouncedCountIsBounded guards against a configuration of a few bytes that takes a process over its memory by a count:
// the decoder allocated as many elements as an array announced.
func TestAnnouncedCountIsBounded(t *testing.T) {
	fields := map[string]func(m, route map[string]any){
		"route_table":       func(m, _ map[string]any) { m["route_table"] = placeholder },
		"backend_table":     func(m, _ map[string]any) { m["backend_table"] = placeholder },
		"weighted_backends": func(_, r map[string]any) { r["weighted_backends"] = placeholder },
		"unknown":           func(m, _ map[string]any) { m["zz"] = placeholder },
		"string":            func(_, r map[string]any) { r["name"] = placeholder },
	}
	for field, change := range fields {
		raw := array32 + hugeCount
		if field == "string" {
			raw = string32 + hugeCount
		}
		t.Run(field, func(t *testing.T) {
			checkRejected(t, withRaw(t, change, placeholder, raw), "the data ends within a value")
			checkRejected(t, withRaw(t, change, placeholder, raw+strings.Repeat(emptyMap, 1_000_000)), "the data ends within a value")
		})
	}
}

// TestShortElementsAreBounded guards against a configuration of many elements of one byte each, which the decoder turned into
// a struct each before it counted them.
func TestShortElementsAreBounded(t *testing.T) {
	const elements = 7 << 20
	tables := map[string]func(m, route map[string]any){
		"more than 100000 routes":               func(m, _ map[string]any) { m["route_table"] = placeholder },
		"more than 100000 services":             func(m, _ map[string]any) { m["backend_table"] = placeholder },
		"more than 500000 weighted_backends in": func(_, r map[string]any) { r["weighted_backends"] = placeholder },
	}
	for want, change := range tables {
		t.Run(want, func(t *testing.T) {
			raw := array32 + string(binary.BigEndian.AppendUint32(nil, elements)) + strings.Repeat(emptyMap, elements)
			checkRejected(t, withRaw(t, change, placeholder, raw), want)
		})
	}
	t.Run("repeated table", func(t *testing.T) {
		table := "\xabroute_table" + array32 + string(binary.BigEndian.AppendUint32(nil, 50_000)) + strings.Repeat(emptyMap, 50_000)
		body := "\xde" + string(binary.BigEndian.AppendUint16(nil, 160)) + strings.Repeat(table, 160)
		checkRejected(t, []byte(body), "more than 100000 routes")
	})
}

// TestErrorsAreBounded guards against an answer that is much larger than the configuration: each invalid route had several
// lines.
func TestErrorsAreBounded(t *testing.T) {
	raw := array32 + string(binary.BigEndian.AppendUint32(nil, maxRoutes)) + strings.Repeat(emptyMap, maxRoutes)
	body := withRaw(t, func(m, _ map[string]any) { m["route_table"] = placeholder }, placeholder, raw)
	checkRejected(t, body, "more errors may follow")
	checkRejected(t, validBody(t, func(_, r map[string]any) { r["path_prefix"] = strings.Repeat("\x00", MaxBytes/2) }), "does not start and end")
}

// TestLargeConfigurationIsParsedInTime guards against checks whose time is the product of two counts.
func TestLargeConfigurationIsParsedInTime(t *testing.T) {
	config := &Config{Revision: 1}
	for i := range maxRoutes {
		config.Backends = append(config.Backends, Backend{Name: fmt.Sprint("s", i)})
	}
	base, err := Parse(encode(t, config))
	if err != nil {
		t.Fatal(err)
	}
	config.Revision = 2
	route := &Route{Name: "r", Host: "h", Prefix: "/", Kind: Idempotent, TimeoutMs: 1}
	for range 80_000 {
		route.Backends = append(route.Backends, Weighted{Backend: config.Backends[maxRoutes-1].Name, Weight: 1})
	}
	config.Routes = []*Route{route}
	start := time.Now()
	if _, err := ParseNext(encode(t, config), base); err != nil {
		t.Fatal(err)
	}
	removed := Patch{}
	for _, b := range config.Backends[1:] {
		removed.RemovedBackends = append(removed.RemovedBackends, b.Name)
	}
	if left := base.Apply(removed); len(left.Backends) != 1 {
		t.Errorf("%d services are left, want 1", len(left.Backends))
	}
	if took := time.Since(start); took > maxParseTime {
		t.Errorf("it took %v, want at most %v", took, maxParseTime)
	}
}

// TestModerateNestingIsAccepted checks that an unknown field may have a nested value up to the bound.
func TestModerateNestingIsAccepted(t *testing.T) {
	for place, change := range placements {
		for depth, accepted := range map[int]bool{1: true, 100: true, 1000: true, 1001: false} {
			body := withRaw(t, change, placeholder, strings.Repeat(arrayOfOne, depth)+"\xc0")
			if _, err := Parse(body); (err == nil) != accepted {
				t.Errorf("%s, %d levels: error %v", place, depth, err)
			}
		}
	}
}

// FuzzConfigCost checks that no body takes more memory or time than the bounds, nor an error longer than its bound. A body
// consists of a start, a pattern that is repeated up to the maximum size of a configuration, and an end.
func FuzzConfigCost(f *testing.F) {
	for _, change := range placements {
		body := withRaw(f, change, placeholder, "\x00")
		split := bytes.Index(body, []byte(unknownField+"\x00")) + len(unknownField)
		for _, pattern := range []string{arrayOfOne, mapOfOne, keyOfMap, emptyMap, array32 + "\x00\x01\x00\x00", array32 + hugeCount, string32 + hugeCount, unknownField + emptyMap} {
			f.Add(body[:split], []byte(pattern), body[split+1:], uint32(MaxBytes/len(pattern)))
		}
	}
	table := string(binary.BigEndian.AppendUint32(nil, maxRoutes))
	f.Add([]byte("\x82\xabroute_table"+array32+table), []byte(emptyMap), []byte(nil), uint32(maxRoutes))
	f.Add([]byte("\x82\xadbackend_table"+array32+table), []byte("\x81\xa4name\xa1s"), []byte(nil), uint32(maxRoutes))
	f.Add([]byte("\xde\xff\xff"), []byte("\xabroute_table\x91"+emptyMap), []byte(nil), uint32(1<<16-1))
	f.Fuzz(func(t *testing.T, start, pattern, end []byte, repeats uint32) {
		room := max(0, MaxBytes-len(start)-len(end))
		repeats = min(repeats, uint32(room/max(1, len(pattern))))
		body := slices.Concat(start, bytes.Repeat(pattern, int(repeats)), end)
		memory, took, err := parseCost(body)
		if memory > maxParseMemory || took > maxParseTime {
			t.Errorf("%d bytes took %d MiB and %v, want at most %d MiB and %v", len(body), memory>>20, took, maxParseMemory>>20, maxParseTime)
		}
		if err != nil && len(err.Error()) > maxErrorBytes {
			t.Errorf("the error has %d bytes, want at most %d", len(err.Error()), maxErrorBytes)
		}
	})
}
