package operator

import (
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"ivydeck/internal/config/meshconfig"
)

// TestFilesAreBounded guards against a configuration file that ends the tool, or takes it minutes, by nested values or keys.
func TestFilesAreBounded(t *testing.T) {
	const (
		depth     = 300_000
		maxTime   = 10 * time.Second
		maxMemory = 256 << 20 // bytes of heap and stack, freed memory included
	)
	defer debug.SetMaxStack(debug.SetMaxStack(maxMemory)) // a deeper recursion ends the test, as it would end the tool
	for name, c := range map[string]struct{ text, want string }{
		"arrays.toml":        {"a = " + strings.Repeat("[", depth), "nested more than 1000 levels"},
		"closed.toml":        {"a = " + strings.Repeat("[", depth) + strings.Repeat("]", depth), "nested more than 1000 levels"},
		"inline-tables.toml": {"a = " + strings.Repeat("{a=", depth), "nested more than 1000 levels"},
		"dotted-key.toml":    {strings.Repeat("a.", depth) + "a = 1", "nested more than 1000 levels"},
		"header.toml":        {"[" + strings.Repeat("a . ", depth) + "a]", "nested more than 1000 levels"},
		"arrays.json":        {`{"a":` + strings.Repeat("[", depth), "exceeded max depth"},
		"deep.json":          {`{"revision":1,"a":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + "}", "nested more than 1000 levels"},
		"flow.yaml":          {"a: " + strings.Repeat("[", depth), "exceeded max depth"},
		"blocks.yaml":        {strings.Repeat("- ", depth), "exceeded max depth"},
		"aliases.yaml":       {"a: &a [x,x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a,*a,*a,*a]\nc: &c [*b,*b,*b,*b,*b,*b,*b,*b,*b]\nd: &d [*c,*c,*c,*c,*c,*c,*c,*c,*c]\ne: &e [*d,*d,*d,*d,*d,*d,*d,*d,*d]\nf: &f [*e,*e,*e,*e,*e,*e,*e,*e,*e]\ng: &g [*f,*f,*f,*f,*f,*f,*f,*f,*f]\nh: [*g,*g,*g,*g,*g,*g,*g,*g,*g]\n", "excessive aliasing"},
		"nested.msgpack":     {"\x81\xa1a" + strings.Repeat("\x91", depth), "nested more than 1000 levels"},
		"too-large.json":     {strings.Repeat(" ", maxFileBytes+1), "larger than 33554432 bytes"},
		"too-large.msgpack":  {strings.Repeat("\x91", meshconfig.MaxBytes+1), "the maximum is 8388608"},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeFile(t, name, c.text)
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, _, err := Load(path)
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %.200v, want one with %q", err, c.want)
			}
			if memory := after.TotalAlloc - before.TotalAlloc; took > maxTime || memory > maxMemory {
				t.Errorf("it took %v and %d MiB, want at most %v and %d MiB", took, memory>>20, maxTime, maxMemory>>20)
			}
		})
	}
}

// TestTOMLDepthIgnoresText checks that brackets and dots in strings and comments do not count, and that a file may have as many
// values and keys side by side as it likes.
func TestTOMLDepthIgnoresText(t *testing.T) {
	for name, text := range map[string]string{
		"comment":      "# " + strings.Repeat("[", 2000) + "\n",
		"string":       `a = "` + strings.Repeat(`[\"`, 2000) + "\"\n",
		"literal":      `a = '` + strings.Repeat(`{.`, 2000) + "'\n",
		"lines":        `a = """` + strings.Repeat("[\n\\\"", 2000) + "\"\"\"\"\"\n",
		"quoted key":   `"` + strings.Repeat(`a.`, 2000) + "\" = 1\n",
		"side by side": "a = [" + strings.Repeat("[1.5,'['],\n", 5000) + "]\n",
		"many keys":    strings.Repeat("[[a.b]]\nc.d = 1\n", 3000),
	} {
		if err := checkTOMLDepth([]byte(text)); err != nil {
			t.Errorf("%s: error %v", name, err)
		}
		if _, err := decodeText(".toml", []byte(text)); err != nil {
			t.Errorf("%s: the decoder: %v", name, err)
		}
	}
	if err := checkTOMLDepth([]byte("a = '[' \n b = " + strings.Repeat("[", 1001))); err == nil {
		t.Error("nested values after a string were accepted")
	}
}
