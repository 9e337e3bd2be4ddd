// Package settings reads the settings object that a node, or an instance on the
// simulator's wire, is given at its start.
package settings

import (
	"errors"
	"fmt"
	"time"

	"ivydeck/decide"
)

// Object is the settings object as it is written, of which the JSON names are
// fixed by the protocol. Keys that it does not name are ignored. Durations are in
// nanoseconds.
type Object struct {
	Classes        []Class       `json:"categories"`
	Limits         Limits        `json:"limits"`
	Obligations    Obligations   `json:"obligations"`
	Callers        Callers       `json:"callers"`
	Deductions     Deductions    `json:"deductions"`
	Family         Family        `json:"family_info"`
	Objective      Objective     `json:"objective_mix"`
	Tenants        []Tenant      `json:"tenants"`
	Zones          []string      `json:"areas"`
	CountedBy      string        `json:"counted_by"` // "work": capacity is in work, not in requests
	Node           int           `json:"me"`         // index of this node
	Nodes          int           `json:"n_instances"`
	OverQuotaValue float64       `json:"over_share_worth"` // factor on the value of a request over its tenant's quota
	TickInterval   time.Duration `json:"period_ns"`
	RegistryMode   string        `json:"registry_mode"` // "subscribe": lists come on request
	Tier           int           `json:"tier"`
	Tiers          []string      `json:"tiers"`
	WeightSource   string        `json:"weight_source"` // key of weights
	Zone           string        `json:"zone"`
}

// Class is a class of requests that are treated alike.
type Class struct {
	Name                 string        `json:"name"`
	LatencyTarget        time.Duration `json:"aim_ns"`
	LatencyTargetStretch float64       `json:"aim_stretch"`
	Deadline             time.Duration `json:"deadline_ns"`
	Value                float64       `json:"worth"`
	LateValueShare       float64       `json:"late_worth"` // of the value, for an answer past the latency target
	Semantics            string        `json:"semantics"`  // key of effects
	Group                string        `json:"group"`      // key of groups; only of classes with an idempotency key
	KeyTTL               time.Duration `json:"key_ttl_ns"`
}

// Limits is what the node may do, and how much of it.
type Limits struct {
	Cancel             bool          `json:"cancel"`
	ConnIdle           time.Duration `json:"conn_idle_ns"`
	ConnectTimeout     time.Duration `json:"connect_timeout_ns"`
	MayProbe           bool          `json:"may_probe"`
	MayHedge           bool          `json:"second_copies"`
	RetryAfter         bool          `json:"retry_after"` // refusals may say when to come back
	MaxRetryAfter      time.Duration `json:"max_retry_after_ns"`
	MaxPendingRequests int           `json:"most_held"`
	MaxAttempts        int           `json:"most_tries"`
	StreamsPerConn     int           `json:"streams_per_conn"`
}

// Obligations are times that the node and its servers keep to.
type Obligations struct {
	ListRequestInterval time.Duration `json:"ask_within_ns"`
	SlowStartMinShare   float64       `json:"cold_from"`
	SlowStartDuration   time.Duration `json:"cold_ns"`
	DrainGrace          time.Duration `json:"drain_grace_ns"`
	FallMultiple        float64       `json:"fall_multiple"`
	FallFor             time.Duration `json:"fall_ns"`
	AnswerGrace         time.Duration `json:"grace_to_answer_ns"`
}

// Callers is what is known of the clients.
type Callers struct {
	MarksRetry bool `json:"marks_retry"` // a client says of a retry that it is one
}

// Deductions are the costs that are taken off the value of a request.
type Deductions struct {
	CrossZone float64 `json:"cross_zone"`
	Handshake float64 `json:"handshake"`
	LateFail  float64 `json:"late_fail"`
	Probe     float64 `json:"probe"`
	Waste     float64 `json:"waste"`
}

// Family is what is known of the servers.
type Family struct {
	PassesDeadline bool `json:"passes_deadline"`
}

// Objective is the weight of each part of the objective.
type Objective struct {
	Total       float64 `json:"whole"`
	Nines       float64 `json:"log_loss_part"`
	NinesFull   float64 `json:"top_nines"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	WorstWindow float64 `json:"worst_window"`
}

// Tenant is who requests come from.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
	Share float64 `json:"share"`
}

var (
	effects = map[string]decide.Effect{"repeatable": decide.Idempotent, "by_key": decide.Keyed, "once": decide.NonIdempotent}
	weights = map[string]decide.Weights{
		"none": decide.WeightsNone, "nominal": decide.WeightsNominal, "rough": decide.WeightsRough,
		"live": decide.WeightsLive,
	}
	groups = map[string]decide.Group{"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell}
)

// Named looks up a name in a table of the names that are known. what says, for the
// error, what is named.
func Named[T any](table map[string]T, what, name string) (T, error) {
	v, ok := table[name]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", what, name)
	}
	return v, nil
}

// Translate returns the settings in the form that package decide takes. A name that
// is not known is an error.
func (s *Object) Translate() (decide.Settings, error) {
	set := s.plain()
	if len(s.Classes) == 0 {
		return set, errors.New("settings name no class")
	}
	if s.WeightSource != "" {
		kind, err := Named(weights, "weight source", s.WeightSource)
		if err != nil {
			return set, err
		}
		set.Weights = kind
	}
	for i := range s.Classes {
		class, err := s.Classes[i].translate()
		if err != nil {
			return set, err
		}
		set.Classes = append(set.Classes, class)
	}
	for _, t := range s.Tenants {
		set.Tenants = append(set.Tenants, decide.Tenant{Quota: t.Quota, Share: t.Share})
	}
	return set, nil
}

// plain translates what needs no table of names.
func (s *Object) plain() decide.Settings {
	return decide.Settings{
		Node:                s.Node,
		Nodes:               s.Nodes,
		Tier:                s.Tier,
		Tiers:               len(s.Tiers),
		Zones:               len(s.Zones),
		ByWork:              s.CountedBy == "work",
		DrainGrace:          s.Obligations.DrainGrace,
		Tick:                s.TickInterval,
		PassesDeadline:      s.Family.PassesDeadline,
		MaxPendingRequests:  s.Limits.MaxPendingRequests,
		ConnIdle:            s.Limits.ConnIdle,
		ConnectTimeout:      s.Limits.ConnectTimeout,
		Streams:             s.Limits.StreamsPerConn,
		Zone:                s.Zone,
		OverQuotaValue:      s.OverQuotaValue,
		ListOnRequest:       s.RegistryMode == "subscribe",
		ListRequestInterval: s.Obligations.ListRequestInterval,
		SlowStartMinShare:   s.Obligations.SlowStartMinShare,
		SlowStartDuration:   s.Obligations.SlowStartDuration,
		OverloadFactor:      s.Obligations.FallMultiple,
		OverloadDuration:    s.Obligations.FallFor,
		AnswerGrace:         s.Obligations.AnswerGrace,
		MarksClientRetries:  s.Callers.MarksRetry,
		Prices:              s.Deductions.translate(),
		Goal:                s.Objective.translate(),
		MaxAttempts:         s.Limits.MaxAttempts,
		MaxRetryAfter:       s.Limits.MaxRetryAfter,
		MayCancel:           s.Limits.Cancel,
		MayProbe:            s.Limits.MayProbe,
		MayHedge:            s.Limits.MayHedge,
		MaySetRetryAfter:    s.Limits.RetryAfter,
	}
}

func (d Deductions) translate() decide.Prices {
	return decide.Prices{CrossZone: d.CrossZone, Handshake: d.Handshake, Probe: d.Probe, Waste: d.Waste, LateFail: d.LateFail}
}

func (o Objective) translate() decide.Goal {
	return decide.Goal{
		Total:       o.Total,
		WorstWindow: o.WorstWindow,
		WorstClass:  o.WorstClass,
		WorstTenant: o.WorstTenant,
		Nines:       o.Nines,
		NinesFull:   o.NinesFull,
	}
}

func (c *Class) translate() (decide.Class, error) {
	effect, err := Named(effects, "semantics", c.Semantics)
	if err != nil {
		return decide.Class{}, err
	}
	group := decide.GroupAll
	if effect == decide.Keyed {
		if group, err = Named(groups, "group", c.Group); err != nil {
			return decide.Class{}, err
		}
	}
	return decide.Class{
		LatencyTarget:        c.LatencyTarget,
		LatencyTargetStretch: c.LatencyTargetStretch,
		Deadline:             c.Deadline,
		Value:                c.Value,
		LateValueShare:       c.LateValueShare,
		Effect:               effect,
		Group:                group,
		KeyTTL:               c.KeyTTL,
	}, nil
}
