package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// runHost runs a new host on the input and returns its output.
func runHost(lines string) (string, error) {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	err := newHost(bufio.NewReader(strings.NewReader(lines)), w).run()
	w.Flush()
	return out.String(), err
}

const (
	settingsJSON = `{"categories":[{"name":"a","aim_ns":500000000,"deadline_ns":900000000,"worth":2,` +
		`"semantics":"repeatable","group":"all","novel":1}],"limits":{"most_tries":3},"n_instances":1,"novel":{}}`
	firstTurnLine  = `{"turn":{"clock_ns":1000000000}}` + "\n"
	secondTurnLine = `{"turn":{"clock_ns":1100000000}}` + "\n"
	commitLine     = `{"commit":{}}` + "\n"
	bootLine       = `{"boot":{"i":4,"rng_seed":7,"boot_info":` + settingsJSON + `}}` + "\n"
	listLines      = `{"census":{"roster_id":15,"items":[{"server":"10.0.0.1:1","failure_domain":"z","health":"healthy"}]}}` +
		"\n" + `{"view":{"i":4,"how":"disk","roster_id":15,"version":1}}` + "\n"
	requestLine = `{"req":{"i":4,"op_id":99,"grade":"a","ttl_ns":300000000,"novel":true}}` + "\n"
)

func TestBatches(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"no input", "", ""},
		{"empty batch", firstTurnLine + commitLine, `{"done":{}}` + "\n"},
		{
			"a request is sent", firstTurnLine + bootLine + listLines + requestLine + commitLine,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.1:1","give_up_after_ns":300000000}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"served, then events of a request that has ended", firstTurnLine + bootLine + listLines + requestLine + commitLine + secondTurnLine +
				`{"done":{"i":4,"op_id":99,"server":"10.0.0.1:1","state_code":"S","took_ns":5,"complete":true}}` + "\n" +
				`{"cancelled_by_client":{"i":4,"op_id":99}}` + "\n" + `{"reminder":{"i":4,"handle":5}}` + "\n" +
				`{"heard":{"i":4,"origin_peer":1,"msg":"aGk="}}` + "\n" + commitLine,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.1:1","give_up_after_ns":300000000}}` + "\n" +
				`{"done":{}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"exit and boot in one batch discard the list", firstTurnLine + bootLine + listLines + commitLine +
				secondTurnLine + `{"exit":{"i":4}}` + "\n" + bootLine + requestLine + commitLine,
			`{"done":{}}` + "\n" + `{"defer":{"i":4,"in_ns":10000000,"handle":99}}` + "\n" + `{"done":{}}` + "\n",
		},
		{
			"a list number is used again within a batch", firstTurnLine + bootLine + listLines +
				`{"census":{"roster_id":15,"items":[{"server":"10.0.0.2:1","health":"healthy"}]}}` + "\n" +
				`{"view":{"i":4,"how":"snapshot","roster_id":15,"version":2}}` + "\n" + requestLine + commitLine,
			`{"issue":{"i":4,"op_id":99,"server":"10.0.0.2:1","give_up_after_ns":300000000}}` + "\n" + `{"done":{}}` + "\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := runHost(c.in)
			if err != nil || got != c.want {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
		})
	}
}

// Request ids up to 2^52, timer handles up to 2^63 and lines longer than the reader's buffer
// must be accepted.
func TestLargeNumbersAndLongLines(t *testing.T) {
	id := "4503599627370495"
	got, err := runHost(firstTurnLine + bootLine + listLines + strings.Replace(requestLine, "99", id, 1) + commitLine)
	if err != nil || !strings.Contains(got, `"op_id":`+id+`,`) {
		t.Errorf("got %q, %v", got, err)
	}
	if got, err := runHost(firstTurnLine + bootLine + `{"reminder":{"i":4,"handle":9223372036854775808}}` + "\n" + commitLine); err != nil {
		t.Errorf("got %q, %v", got, err)
	}
	var items []string
	for i := range 5000 {
		items = append(items, fmt.Sprintf(`{"server":"10.1.%d.%d:80","health":"healthy","novel":[1]}`, i/250, i%250))
	}
	long := `{"census":{"roster_id":15,"items":[` + strings.Join(items, ",") + `]}}` + "\n" +
		`{"view":{"i":4,"how":"disk","roster_id":15,"version":1}}` + "\n"
	if got, err := runHost(firstTurnLine + bootLine + long + requestLine + commitLine); err != nil || !strings.Contains(got, `{"issue":{"i":4,`) {
		t.Errorf("got %.200q, %v", got, err)
	}
}

// Every outcome except a served one must lead to another attempt of an idempotent request.
func TestEveryOutcome(t *testing.T) {
	twoServers := strings.Replace(listLines, "}]", `},{"server":"10.0.0.2:1","health":"healthy"}]`, 1)
	for state, sends := range map[string]int{"S": 1, "E": 2, "F": 2, "T": 2, "C": 2, "R": 2, "X": 2, "N": 2} {
		first, err := runHost(firstTurnLine + bootLine + twoServers + requestLine + commitLine)
		if err != nil {
			t.Fatal(err)
		}
		server := first[strings.Index(first, "10.0.0."):][:10]
		done := `{"done":{"i":4,"op_id":99,"server":"` + server + `","state_code":"` + state + `","took_ns":5`
		if state == "S" {
			done += `,"complete":true`
		}
		got, err := runHost(firstTurnLine + bootLine + twoServers + requestLine + commitLine + secondTurnLine + done + "}}\n" + commitLine)
		if n := strings.Count(got, `"issue"`); err != nil || n != sends {
			t.Errorf("after %s: %d attempts, want %d; %v", state, n, sends, err)
		}
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	for in, want := range map[string]string{
		firstTurnLine + bootLine + "nonsense\n": "line 3: ",
		firstTurnLine + bootLine:                "input ends inside a batch",
		firstTurnLine + commitLine + firstTurnLine + bootLine + strings.Replace(requestLine, `"a"`, `"b"`, 1): "line 5: ",
	} {
		if _, err := runHost(in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one that contains %q", err, want)
		}
	}
	if _, err := runHost(firstTurnLine + bootLine); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("got error %v, want one that names the last line", err)
	}
}

func TestBadInput(t *testing.T) {
	for name, in := range map[string]string{
		"not JSON":                firstTurnLine + "nonsense\n",
		"not an object":           firstTurnLine + "3\n",
		"unknown event":           firstTurnLine + `{"surprise":{"i":1}}` + "\n",
		"two events in one":       firstTurnLine + `{"commit":{},"turn":{"clock_ns":3}}` + "\n",
		"event outside a batch":   bootLine,
		"batch inside a batch":    firstTurnLine + secondTurnLine,
		"clock running backwards": secondTurnLine + commitLine + firstTurnLine,
		"no clock":                `{"turn":{}}` + "\n",
		"cut short":               firstTurnLine,
		"instance not running":    firstTurnLine + requestLine + commitLine,
		"no instance":             firstTurnLine + `{"req":{"op_id":1}}` + "\n",
		"unknown class":           firstTurnLine + bootLine + strings.Replace(requestLine, `"a"`, `"b"`, 1),
		"negative time":           firstTurnLine + bootLine + strings.Replace(requestLine, `:3`, `:-3`, 1),
		"no request id":           firstTurnLine + bootLine + strings.Replace(requestLine, `"op_id":99,`, "", 1),
		"list number too high":    firstTurnLine + `{"census":{"roster_id":16,"items":[]}}` + "\n",
		"list never given":        firstTurnLine + bootLine + `{"view":{"i":4,"how":"disk","roster_id":3}}` + "\n",
		"unknown kind of list":    firstTurnLine + bootLine + strings.Replace(listLines, "disk", "disc", 1),
		"unknown health":          firstTurnLine + strings.Replace(listLines, "healthy", "well", 1),
		"unknown outcome":         firstTurnLine + bootLine + `{"done":{"i":4,"op_id":1,"server":"s","state_code":"Q"}}` + "\n",
		"no classes":              firstTurnLine + `{"boot":{"i":1,"boot_info":{}}}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := runHost(in); err == nil {
				t.Error("accepted without an error")
			} else if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error has several lines: %q", err)
			}
		})
	}
}

func TestInstanceIsolation(t *testing.T) {
	alone, err := runHost(firstTurnLine + bootLine + listLines + requestLine + commitLine)
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer(`"i":4`, `"i":5`)
	both, err := runHost(firstTurnLine + other.Replace(bootLine+listLines+requestLine) + bootLine + listLines + requestLine + commitLine)
	if err != nil {
		t.Fatal(err)
	}
	if want := other.Replace(strings.TrimSuffix(alone, `{"done":{}}`+"\n")) + alone; both != want {
		t.Errorf("got %q, want %q", both, want)
	}
}

// generateTraffic runs seeded traffic for several instances on one host and responds to their attempts. It returns the lines
// of input and the instance that each belongs to, or -1 if it is for all instances.
func generateTraffic(t *testing.T, instances int) (lines []string, owner []int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(5, 8))
	var out bytes.Buffer
	h := newHost(bufio.NewReader(strings.NewReader("")), bufio.NewWriter(&out))
	feed := func(i int, line string) {
		lines, owner = append(lines, line+"\n"), append(owner, i)
		if err := h.handle([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	feed(-1, strings.TrimSpace(firstTurnLine))
	var items []string
	for k := range 9 {
		items = append(items, fmt.Sprintf(`{"server":"10.0.0.%d:1","failure_domain":"z","health":"healthy"}`, k))
	}
	feed(-1, `{"census":{"roster_id":2,"items":[`+strings.Join(items, ",")+`]}}`)
	for i := range instances {
		feed(i, fmt.Sprintf(`{"boot":{"i":%d,"rng_seed":%d,"boot_info":%s}}`, i, 40+i, settingsJSON))
		feed(i, fmt.Sprintf(`{"view":{"i":%d,"how":"snapshot","roster_id":2}}`, i))
	}
	for turn := range 400 {
		feed(-1, strings.TrimSpace(commitLine))
		sent := regexp.MustCompile(`"issue":\{"i":(\d+),"op_id":(\d+),"server":"([^"]+)"`).FindAllStringSubmatch(out.String(), -1)
		out.Reset()
		feed(-1, fmt.Sprintf(`{"turn":{"clock_ns":%d}}`, 1_100_000_000+turn*5_000_000))
		for _, m := range sent { // outcomes have no attempt number, so that those of retries are wrong; the policy must tolerate this
			i, _ := strconv.Atoi(m[1])
			state := []string{`S","complete":true`, `S","complete":true`, `T"`, `F"`, `C"`}[rng.IntN(5)]
			feed(i, `{"done":{"i":`+m[1]+`,"op_id":`+m[2]+`,"server":"`+m[3]+`","took_ns":4000000,"state_code":"`+state+`}}`)
		}
		i := rng.IntN(instances)
		feed(i, fmt.Sprintf(`{"req":{"i":%d,"op_id":%d,"grade":"a","ttl_ns":300000000}}`, i, 1000+turn))
	}
	feed(-1, strings.TrimSpace(commitLine))
	return lines, owner
}

// The same events must give the same actions, whether instances share a host or not.
func TestDeterminism(t *testing.T) {
	const instances = 3
	lines, owner := generateTraffic(t, instances)
	all := strings.Join(lines, "")
	once, err := runHost(all)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := runHost(all); err != nil || again != once {
		t.Errorf("two runs on the same events differ (error %v)", err)
	}
	if n := strings.Count(once, `"issue"`); n < 200 {
		t.Fatalf("only %d attempts, want at least 200", n)
	}
	for i := range instances {
		var in, want strings.Builder
		for k, line := range lines {
			if owner[k] < 0 || owner[k] == i {
				in.WriteString(line)
			}
		}
		for _, line := range strings.SplitAfter(once, "\n") {
			if strings.Contains(line, `"done":{}`) || strings.Contains(line, fmt.Sprintf(`{"i":%d,`, i)) {
				want.WriteString(line)
			}
		}
		if got, err := runHost(in.String()); err != nil || got != want.String() {
			t.Errorf("instance %d returns other actions when it runs alone (error %v)", i, err)
		}
	}
}

func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	h := newHost(bufio.NewReader(strings.NewReader(firstTurnLine+bootLine+requestLine)), bufio.NewWriter(&out))
	for range 2 {
		line, _ := h.line()
		if err := h.handle(line); err != nil {
			t.Fatal(err)
		}
	}
	h.nodes[4].balancer = nil // makes the policy panic
	line, _ := h.line()
	if err := h.handle(line); err != nil {
		t.Fatal(err)
	}
	h.writer.Flush()
	if !strings.HasPrefix(out.String(), `{"bail_out":{"i":4,"line":"`) {
		t.Errorf("got %q", out.String())
	}
}

func FuzzReader(f *testing.F) {
	f.Add(firstTurnLine + bootLine + listLines + requestLine + commitLine)
	f.Add(firstTurnLine + `{"req":{"i":null}}` + "\n")
	f.Add(firstTurnLine + bootLine + `{"view":{"i":4,"how":"error"}}` + "\n" + commitLine)
	f.Fuzz(func(t *testing.T, in string) {
		out, err := runHost(in)
		if strings.Contains(out, "bail_out") {
			t.Errorf("the policy panicked on %q: %s", in, out)
		}
		if err != nil && err.Error() == "" {
			t.Error("an error without a message")
		}
	})
}
