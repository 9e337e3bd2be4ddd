package departure

import "ivydeck/internal/transport/wire"

// Round gathers the responses of voters to one request. It is complete once a majority of the voters has responded, in the
// membership of its owner and in that of each voter that has responded. A membership that replaces one of them is in the log
// of a majority of its voters, so a response tells of it, even if the owner's membership is out of date.
type Round struct {
	memberships [][]uint64 // identities of the voters in each membership
	addresses   map[uint64]string
	asked       map[uint64]bool
	responded   map[uint64]bool
	found       Set
}

// NewRound returns a round of requests to the voters of a membership.
func NewRound(peers []*wire.Peer) *Round {
	r := &Round{addresses: map[uint64]string{}, asked: map[uint64]bool{}, responded: map[uint64]bool{}}
	r.addMembership(peers)
	return r
}

func (r *Round) addMembership(peers []*wire.Peer) {
	var voters []uint64
	for _, p := range peers {
		if p.Voter {
			voters = append(voters, p.Id)
			r.addresses[p.Id] = p.Address
		}
	}
	r.memberships = append(r.memberships, voters)
}

// Target is a voter that is to be asked.
type Target struct {
	ID      uint64
	Address string // of its internal listener
}

// Next returns the voters that have not been asked yet, each once.
func (r *Round) Next() (targets []Target) {
	for id, address := range r.addresses {
		if !r.asked[id] {
			r.asked[id] = true
			targets = append(targets, Target{id, address})
		}
	}
	return targets
}

// Add adds the response of a voter. A response that is not OK does not count.
func (r *Round) Add(id uint64, response *wire.DepartureResponse) {
	if !response.GetOk() {
		return
	}
	r.responded[id] = true
	r.addMembership(response.Voters)
	for _, d := range response.Found {
		r.found.Add(d)
	}
}

// Complete reports whether a majority has responded.
func (r *Round) Complete() bool {
	for _, voters := range r.memberships {
		count := 0
		for _, id := range voters {
			if r.responded[id] {
				count++
			}
		}
		if count <= len(voters)/2 {
			return false
		}
	}
	return true
}

// Found returns the departures in the responses, each in its latest phase.
func (r *Round) Found() []*wire.Departure { return r.found.All() }
