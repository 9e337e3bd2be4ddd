package server

import (
	"testing"
	"time"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
)

// TestAnyMemberConfirmsAcceptedChange: one without a leader acknowledges a change that it has applied, and nothing else.
func TestAnyMemberConfirmsAcceptedChange(t *testing.T) {
	const now = 10 * time.Second
	node, state := member(now), catalog.New()
	api := operatorRequests{requests: newRequestQueue(node, threeVoters, now), state: func() backup.Backup { return backup.Backup{State: state} }}
	order := func(base, revision uint64, service string) (answers []OperatorAnswer) {
		t.Helper()
		r, err := parseReplacement(state.Current(), base, []byte(encoded(t, revision, service)))
		if err != nil {
			t.Fatal(err)
		}
		api.replace(now, now+time.Second, r, func(a OperatorAnswer) { answers = append(answers, a) })
		return answers
	}
	for i, service := range []string{"a", "b"} {
		r, err := parseReplacement(state.Current(), uint64(i), []byte(encoded(t, uint64(i+1), service)))
		if err != nil {
			t.Fatal(err)
		}
		if changes, err := state.Apply(r.command); changes == nil || err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name           string
		base, revision uint64
		service        string
		known          bool
	}{
		{"the newest", 1, 2, "b", true},
		{"the one before", 0, 1, "a", true},
		{"another one under its number", 0, 1, "b", false},
		{"a new one", 2, 3, "a", false},
		{"a stale one, as far as is known here", 1, 3, "a", false},
	} {
		answers := order(c.base, c.revision, c.service)
		if known := len(answers) == 1 && answers[0].Result == AlreadyAccepted; known != c.known || !known && len(answers) > 0 {
			t.Errorf("%s: %v", c.name, answers)
		}
	}
}
