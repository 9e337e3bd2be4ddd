package server

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"ivydeck/internal/transport/wire"
)

// Look is what all nodes say of themselves at one moment.
type Look struct {
	Nodes  []NodeLook `json:"nodes"` // by name
	Asked  int        `json:"asked"`
	Silent int        `json:"silent"` // of those asked
}

// NodeLook is one node. Counts are since its start.
type NodeLook struct {
	Node        string        `json:"node"`
	Zone        string        `json:"zone"`
	Served      uint64        `json:"served"`  // answers of servers
	Refused     uint64        `json:"refused"` // promises that a request has not run
	Failed      uint64        `json:"failed"`  // other answers of the mesh's own
	Pending     uint32        `json:"pending"`
	UpdateIndex uint64        `json:"update_index"`
	UpdateAgeMs uint32        `json:"update_age_ms"`
	UpMs        uint32        `json:"up_ms"`
	Services    []ServiceLook `json:"services"`
	Servers     []ServerLook  `json:"servers"`
}

// ServiceLook is how a node sees a service.
type ServiceLook struct {
	Service string    `json:"service"`
	R       float64   `json:"r"`       // in aims
	Chances []float64 `json:"chances"` // of a new graph to be admitted, by priority
	Left    float64   `json:"left"`    // repeats that its budget has left
}

// ServerLook is a server beside a node.
type ServerLook struct {
	Server   string   `json:"server"`
	Service  string   `json:"service"`
	Running  uint32   `json:"running"`
	Waiting  uint32   `json:"waiting"`
	Slots    uint32   `json:"slots"`
	Out      []string `json:"out"` // zones whose callers it fails; "*": all
	Draining bool     `json:"draining"`
}

// look asks all nodes what they see.
func (n *Node) look(w http.ResponseWriter, r *http.Request) {
	var all Look
	all.Asked, all.Silent = askAll(r.Context(), n, "look", &wire.Empty{}, func(l *wire.NodeStatus) {
		node := NodeLook{Node: l.Node, Zone: l.Zone, Served: l.Served, Refused: l.Refused, Failed: l.Failed, Pending: l.Pending,
			UpdateIndex: l.UpdateIndex, UpdateAgeMs: l.UpdateAgeMs, UpMs: l.UpMs}
		for _, s := range l.Services {
			node.Services = append(node.Services, ServiceLook{s.Service, s.NormalizedLatency, s.AdmissionProbabilities, s.RetryBudgetLeft})
		}
		for _, s := range l.Servers {
			node.Servers = append(node.Servers, ServerLook{s.Member, s.Service, s.Running, s.Queued, s.Slots, s.EjectedZones, s.Draining})
		}
		all.Nodes = append(all.Nodes, node)
	})
	slices.SortFunc(all.Nodes, func(a, b NodeLook) int { return strings.Compare(a.Node, b.Node) })
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(all)
}
