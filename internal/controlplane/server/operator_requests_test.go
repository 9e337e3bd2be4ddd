package server

import (
	"testing"
	"time"

	"ivydeck/internal/controlplane/backup"
	"ivydeck/internal/controlplane/catalog"
)

// TestAnyMemberConfirmsAcceptedChange checks that a member without a leader acknowledges exactly the changes that it
// has applied.
func TestAnyMemberConfirmsAcceptedChange(t *testing.T) {
	const now = 10 * time.Second
	node, state := newFollower(now), catalog.New()
	api := operatorRequests{requests: newRequestQueue(node, threeVoters, now), state: func() backup.Backup { return backup.Backup{State: state} }}
	replace := func(base, revision uint64, service string) (answers []OperatorAnswer) {
		t.Helper()
		r, err := parseReplacement(state.Current(), base, []byte(encodeConfig(t, revision, service)))
		if err != nil {
			t.Fatal(err)
		}
		api.replace(now, now+time.Second, r, func(a OperatorAnswer) { answers = append(answers, a) })
		return answers
	}
	for i, service := range []string{"a", "b"} {
		r, err := parseReplacement(state.Current(), uint64(i), []byte(encodeConfig(t, uint64(i+1), service)))
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
		accepted       bool
	}{
		{"newest change", 1, 2, "b", true},
		{"earlier change", 0, 1, "a", true},
		{"different change with the same revision", 0, 1, "b", false},
		{"new change", 2, 3, "a", false},
		{"change that is stale in this member's state", 1, 3, "a", false},
	} {
		answers := replace(c.base, c.revision, c.service)
		if accepted := len(answers) == 1 && answers[0].Result == AlreadyAccepted; accepted != c.accepted || !accepted && len(answers) > 0 {
			t.Errorf("%s: answers are %v, want AlreadyAccepted if the change was applied, otherwise none", c.name, answers)
		}
	}
}
