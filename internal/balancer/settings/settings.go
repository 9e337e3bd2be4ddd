// Package settings defines the JSON settings object of a node's configuration file and of
// the simulator's boot event, and converts it to the settings of package decide.
package settings

import (
	"errors"
	"fmt"
	"time"

	"ivydeck/decide"
)

// Object is the settings object in its JSON form. The protocol defines the key names.
// Unknown keys are ignored. Durations are in nanoseconds.
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
	CountedBy      string        `json:"counted_by"` // "work" if value is counted per unit of work, not per request
	Node           int           `json:"me"`         // index of this node
	Nodes          int           `json:"n_instances"`
	OverQuotaValue float64       `json:"over_share_worth"` // factor on the value of requests over their tenant's quota
	TickInterval   time.Duration `json:"period_ns"`
	RegistryMode   string        `json:"registry_mode"` // "subscribe" if the node requests lists
	Tier           int           `json:"tier"`
	Tiers          []string      `json:"tiers"`
	WeightSource   string        `json:"weight_source"` // key in the table weights
	Zone           string        `json:"zone"`
}

// Class is a class of requests with common latency targets and semantics.
type Class struct {
	Name                 string        `json:"name"`
	LatencyTarget        time.Duration `json:"aim_ns"`
	LatencyTargetStretch float64       `json:"aim_stretch"`
	Deadline             time.Duration `json:"deadline_ns"`
	Value                float64       `json:"worth"`
	LateValueShare       float64       `json:"late_worth"` // share of Value for a response after the latency target
	Semantics            string        `json:"semantics"`  // key in the table effects
	Group                string        `json:"group"`      // key in the table groups; required if Semantics is "by_key"
	KeyTTL               time.Duration `json:"key_ttl_ns"`
}

// Limits states which actions the node may take, and bounds on them.
type Limits struct {
	Cancel             bool          `json:"cancel"`
	ConnIdle           time.Duration `json:"conn_idle_ns"`
	ConnectTimeout     time.Duration `json:"connect_timeout_ns"`
	MayProbe           bool          `json:"may_probe"`
	MayHedge           bool          `json:"second_copies"`
	RetryAfter         bool          `json:"retry_after"` // whether refusals may carry Retry-After
	MaxRetryAfter      time.Duration `json:"max_retry_after_ns"`
	MaxPendingRequests int           `json:"most_held"`
	MaxAttempts        int           `json:"most_tries"`
	StreamsPerConn     int           `json:"streams_per_conn"`
}

// Obligations are times and thresholds that the node and its servers must keep.
type Obligations struct {
	ListRequestInterval time.Duration `json:"ask_within_ns"`
	SlowStartMinShare   float64       `json:"cold_from"`
	SlowStartDuration   time.Duration `json:"cold_ns"`
	DrainGrace          time.Duration `json:"drain_grace_ns"`
	OverloadFactor      float64       `json:"fall_multiple"`
	OverloadDuration    time.Duration `json:"fall_ns"`
	AnswerGrace         time.Duration `json:"grace_to_answer_ns"`
}

// Callers describes the clients.
type Callers struct {
	MarksRetry bool `json:"marks_retry"` // whether clients mark retries as such
}

// Deductions are the prices of decide.Prices.
type Deductions struct {
	CrossZone float64 `json:"cross_zone"`
	Handshake float64 `json:"handshake"`
	LateFail  float64 `json:"late_fail"`
	Probe     float64 `json:"probe"`
	Waste     float64 `json:"waste"`
}

// Family describes the servers.
type Family struct {
	PassesDeadline bool `json:"passes_deadline"`
}

// Objective holds the weights of the parts of the objective function.
type Objective struct {
	Total       float64 `json:"whole"`
	Nines       float64 `json:"log_loss_part"`
	NinesFull   float64 `json:"top_nines"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	WorstWindow float64 `json:"worst_window"`
}

// Tenant is a customer with a quota of requests.
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

// Lookup returns the value of a name in a table. The error for an unknown name contains
// kind, which says what the name denotes, such as "group".
func Lookup[T any](table map[string]T, kind, name string) (T, error) {
	v, ok := table[name]
	if !ok {
		return v, fmt.Errorf("unknown %s %q", kind, name)
	}
	return v, nil
}

// Translate converts the settings to those of package decide. It returns an error if
// there is no class or a name is unknown.
func (s *Object) Translate() (decide.Settings, error) {
	set := s.translateScalars()
	if len(s.Classes) == 0 {
		return set, errors.New("categories is empty")
	}
	if s.WeightSource != "" {
		source, err := Lookup(weights, "weight source", s.WeightSource)
		if err != nil {
			return set, err
		}
		set.Weights = source
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

// translateScalars converts all settings that need neither a lookup of names nor a list.
func (s *Object) translateScalars() decide.Settings {
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
		OverloadFactor:      s.Obligations.OverloadFactor,
		OverloadDuration:    s.Obligations.OverloadDuration,
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
	effect, err := Lookup(effects, "semantics", c.Semantics)
	if err != nil {
		return decide.Class{}, err
	}
	group := decide.GroupAll
	if effect == decide.Keyed {
		if group, err = Lookup(groups, "group", c.Group); err != nil {
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
