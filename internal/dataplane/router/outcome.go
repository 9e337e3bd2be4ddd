package router

import (
	"slices"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/transport/wire"
)

// HandleOutcome takes the outcome of an attempt. It returns the node's own final response, or none; forward says that the
// server's answer is the final one. With neither, the other attempts in flight go on, or Next says what to do.
func (r *Request) HandleOutcome(now time.Duration, id string, outcome *wire.ForwardResponse, result decide.Result) (final *Response, forward bool) {
	r.reportToPicker(now, id, outcome, result)
	r.inFlight = slices.DeleteFunc(r.inFlight, func(o string) bool { return o == id })
	if len(r.reached) == 0 && !r.saturationRecorded && outcome.Result != wire.ForwardResponse_NOT_SENT {
		r.service.gate.RecordCapacity(now, true)
	}
	if outcome.Result == wire.ForwardResponse_NOT_SENT {
		r.rejections++
		r.unhealthy = r.unhealthy || outcome.Unhealthy
		if len(r.inFlight) > 0 {
			return nil, false
		}
		if now-r.waitingSince > r.maxWait() && r.rejections >= maxRejections {
			return r.giveUp(now, "no server has room"), false
		}
		return nil, false
	}
	r.reached = append(r.reached, id) // no second attempt goes there
	r.waitingSince = now
	if len(r.inFlight) > 0 && (outcome.Result != wire.ForwardResponse_ANSWERED || outcome.Status >= 500) {
		r.mayHaveRun = r.mayHaveRun || outcome.Result != wire.ForwardResponse_NOT_RUN
		return nil, false // the other attempt may succeed
	}
	switch outcome.Result {
	case wire.ForwardResponse_ANSWERED:
		r.table.recordRun(now, r.Route.Name, outcome)
		return r.handleAnswer(now, int(outcome.Status))
	case wire.ForwardResponse_NOT_RUN:
		if !r.mayRetry(now) {
			return r.giveUp(now, "the servers have no room"), false
		}
	default: // BROKEN, DEADLINE_EXCEEDED, and results of later versions
		r.mayHaveRun = true
		if now >= r.Deadline {
			return &Response{Status: 504, Reason: "no answer in time"}, false
		}
		if r.NonIdempotent() || !r.mayRetry(now) {
			if outcome.Result == wire.ForwardResponse_DEADLINE_EXCEEDED {
				return &Response{Status: 504, Reason: "no answer in time"}, false
			}
			return &Response{Status: 502, Reason: "the server gave no proper answer"}, false
		}
	}
	return nil, false
}

// handleAnswer decides on a server's answer: it is forwarded, replaced, or retried.
func (r *Request) handleAnswer(now time.Duration, status int) (final *Response, forward bool) {
	if status >= 500 && status != 504 && !r.NonIdempotent() {
		r.mayHaveRun = true
		if r.mayRetry(now) {
			return nil, false
		}
	}
	switch status {
	case 408, 421, 429, 503: // to the client, these promise that the request has not run
		return &Response{Status: 502, Reason: "the server failed"}, false
	}
	return nil, true
}

// HandleLateOutcome takes the outcome of an attempt after the final answer.
func (r *Request) HandleLateOutcome(now time.Duration, id string, outcome *wire.ForwardResponse, result decide.Result) {
	r.reportToPicker(now, id, outcome, result)
	if outcome.Result == wire.ForwardResponse_ANSWERED {
		r.table.recordRun(now, r.Route.Name, outcome)
	}
}

// reportToPicker passes the end of an attempt to the picker.
func (r *Request) reportToPicker(now time.Duration, id string, outcome *wire.ForwardResponse, result decide.Result) {
	report := decide.ServerReport{RelativeLatency: float64(outcome.RelativeLatency), Utilization: float64(outcome.Utilization), Queued: outcome.Queued}
	r.service.picker.End(now, id, result, report)
}

// Result is what the outcome of an attempt says of the server, for the picker.
func Result(outcome *wire.ForwardResponse) decide.Result {
	switch outcome.Result {
	case wire.ForwardResponse_ANSWERED:
		if outcome.Status >= 500 {
			return decide.Errored
		}
		return decide.Served
	case wire.ForwardResponse_NOT_SENT:
		switch {
		case outcome.Terminated:
			return decide.NotSent
		case outcome.Unhealthy:
			return decide.Unhealthy
		}
		return decide.Full
	case wire.ForwardResponse_NOT_RUN:
		return decide.Full
	case wire.ForwardResponse_DEADLINE_EXCEEDED:
		return decide.TimedOut
	}
	return decide.Broken
}
