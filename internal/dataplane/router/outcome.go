package router

import (
	"slices"
	"time"

	"ivydeck/decide"
	"ivydeck/internal/transport/wire"
)

// HandleOutcome handles the outcome of an attempt. It returns a final response made by the node itself, or forward if the
// server's response is the final one. If it returns neither, the caller waits for the other attempt in flight, or calls Next if
// there is none.
func (r *Request) HandleOutcome(now time.Duration, id string, outcome *wire.ForwardResponse, result decide.Result) (final *Response, forward bool) {
	r.reportToPicker(now, id, outcome, result)
	r.inFlight = slices.DeleteFunc(r.inFlight, func(other string) bool { return other == id })
	if len(r.reached) == 0 && !r.saturationRecorded && outcome.Result != wire.ForwardResponse_NOT_SENT {
		r.service.gate.RecordCapacity(now, true)
	}
	if outcome.Result == wire.ForwardResponse_NOT_SENT {
		r.rejections++
		r.unhealthyRejection = r.unhealthyRejection || outcome.Unhealthy
		if len(r.inFlight) > 0 {
			return nil, false
		}
		if now-r.waitingSince > r.maxWait() && r.rejections >= maxRejections {
			return r.giveUp(now, "no server has room"), false
		}
		return nil, false
	}
	r.reached = append(r.reached, id) // excludes it from further attempts
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
	default: // BROKEN, DEADLINE_EXCEEDED, and results of later protocol versions
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

// handleAnswer decides whether a server's response is forwarded, replaced by the node's own, or followed by a retry.
func (r *Request) handleAnswer(now time.Duration, status int) (final *Response, forward bool) {
	if status >= 500 && status != 504 && !r.NonIdempotent() {
		r.mayHaveRun = true
		if r.mayRetry(now) {
			return nil, false
		}
	}
	switch status {
	case 408, 421, 429, 503: // clients treat these as a guarantee that the request has not run
		return &Response{Status: 502, Reason: "the server failed"}, false
	}
	return nil, true
}

// HandleLateOutcome records the outcome of an attempt that ends after the final response.
func (r *Request) HandleLateOutcome(now time.Duration, id string, outcome *wire.ForwardResponse, result decide.Result) {
	r.reportToPicker(now, id, outcome, result)
	if outcome.Result == wire.ForwardResponse_ANSWERED {
		r.table.recordRun(now, r.Route.Name, outcome)
	}
}

// reportToPicker reports the end of an attempt, with the measurements of the server's node, to the picker.
func (r *Request) reportToPicker(now time.Duration, id string, outcome *wire.ForwardResponse, result decide.Result) {
	report := decide.ServerReport{RelativeLatency: float64(outcome.RelativeLatency), Utilization: float64(outcome.Utilization), Queued: outcome.Queued}
	r.service.picker.End(now, id, result, report)
}

// Result returns the result that the picker records for the server of an attempt with this outcome.
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
