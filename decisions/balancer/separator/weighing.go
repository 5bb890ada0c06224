package separator

// weighing weighs what a long prompt saves on the owners of its prefix against its wait there. All amounts are in
// prompt tokens at the usual pace of an engine.
type weighing struct {
	// weight is how much signs against an owner count; zero to prefer the owners as long as their queue allows.
	weight float64
	// requestCost is the wait for each request that is known to run, and slotCost that for each one of the last report
	// that had no slot.
	requestCost, slotCost float64
	// slowLimit bounds the factor by which prefilling counts as slower, on an engine with at least busyShare of its
	// slots taken.
	slowLimit, busyShare float64
}

// weighedPrompt is what counts of a long prompt.
type weighedPrompt struct {
	shared, unshared, output float64
}

// engineState is what is known of an engine. Unknown values are zero.
type engineState struct {
	slots float64
	// running is the estimate of the requests there, and occupancy the running and waiting ones of its last report,
	// up to 1.5 s old.
	running, occupancy float64
	// slowness is the factor by which its steps exceed what counts as slow in its pool, at least one.
	slowness float64
}

// queue returns the work of the requests that are known to run, at the usual pace.
func (w *weighing) queue(e engineState) float64 {
	return e.running * w.requestCost
}

// slotWait returns the work of the requests that wait for a slot.
func (w *weighing) slotWait(e engineState) float64 {
	return w.weight * w.slotCost * max(0, e.occupancy-e.slots)
}

// prefill returns the work of the tokens that are not cached, at the pace of an engine that holds the shared ones with
// a probability. Engines that don't own the prefix hold none of them.
func (w *weighing) prefill(p weighedPrompt, e engineState, heldProbability float64) float64 {
	tokens := p.unshared + (1-heldProbability)*p.shared
	return tokens * w.slowdown(e)
}

// slowdown returns the factor by which an engine prefills slower. Steps that only prefill a lot are long too, but
// end soon; together with many requests there they tell that the engine can't keep up.
func (w *weighing) slowdown(e engineState) float64 {
	if e.slowness < outlierSlowness || e.occupancy < w.busyShare*e.slots {
		return 1
	}
	return 1 + w.weight*max(0, min(e.slowness, w.slowLimit)-1)
}

// ownerProbability returns the probability with which the tokens that an owner may hold count as saved.
func (w *weighing) ownerProbability(cacheTokens int, p weighedPrompt, d prefixDemand, running float64, engines int) float64 {
	if !fits(cacheTokens, p) {
		return 1 - w.weight
	}
	return 1 - w.weight*(1-heldProbability(cacheTokens, d, running, engines))
}
