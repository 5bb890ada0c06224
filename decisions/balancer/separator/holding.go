package separator

// prefixDemand describes the recent long prompts of a service, as far as a node knows them.
type prefixDemand struct {
	// prompts is the number of prompts that this node remembers, and distinct that of their prefixes.
	prompts, distinct float64
	// meanShared and meanOther are their mean lengths, of the shared tokens and of the rest with the output.
	meanShared, meanOther float64
	// scale is the number of requests of all known nodes relative to those of this node.
	scale float64
	// share is the share of the prompt's own prefix in them; zero if it is as frequent as any other.
	share float64
}

// minRemembered is the number of remembered prompts from which they tell about the others.
const minRemembered = 8

// prefixes estimates the number of distinct prefixes in use. With prefixes of equal frequency, prompts of them
// repeat one another prompts²/2N times among N. More prefixes than prompts of all nodes can't have been used.
func (d prefixDemand) prefixes() float64 {
	used := d.distinct * d.scale
	if repeats := d.prompts - d.distinct; repeats > 0 {
		used = min(used, d.prompts*d.prompts/(2*repeats))
	}
	return max(d.distinct, used)
}

// since estimates how many distinct prefixes were in use since the prompt's own one last was.
func (d prefixDemand) since() float64 {
	if d.share > 0 {
		return min(d.prefixes(), 1/d.share)
	}
	return d.prefixes()
}

// heldProbability estimates the probability that an engine with a cache of a size in tokens still holds a prefix
// that is assigned to it, with some requests running there, if the prefixes are divided among a number of engines.
// It is one if the size or the demand is unknown: leaving an owner for nothing means to prefill the prefix again.
func heldProbability(cacheTokens int, d prefixDemand, running float64, engines int) float64 {
	if cacheTokens <= 0 || d.prompts < minRemembered || d.meanShared <= 0 {
		return 1
	}
	room := float64(cacheTokens) - running*d.meanOther
	assigned := d.since() / float64(max(1, engines)) * d.meanShared
	return min(1, max(0, room)/max(assigned, d.meanShared))
}

// fits reports whether a prompt and its output fit into an engine's cache; true if its size is unknown.
func fits(cacheTokens int, p weighedPrompt) bool {
	return cacheTokens <= 0 || p.shared+p.unshared+p.output <= float64(cacheTokens)
}
