package separator

import "github.com/quetzalroad/quetzalroad"

// group is a set of engines of one pool, all in the node's region or all outside it.
type group struct {
	members    []quetzalroad.Upstream
	inLongPool bool
}

// engineGroups are a service's engines by pool and region. They are not modified once they are built.
type engineGroups struct {
	shortNear, shortFar, longNear, longFar group
	// longPool holds the members of longNear and longFar.
	longPool []quetzalroad.Upstream
}

func (g *engineGroups) all() [4]*group {
	return [...]*group{&g.shortNear, &g.shortFar, &g.longNear, &g.longFar}
}

// newEngineGroups divides engines, of which the first shortCount are the short pool.
func newEngineGroups(order []quetzalroad.Upstream, shortCount int, region quetzalroad.Region) *engineGroups {
	g := &engineGroups{longPool: order[shortCount:]}
	g.longNear.inLongPool, g.longFar.inLongPool = true, true
	for i, u := range order {
		near, far := &g.shortNear, &g.shortFar
		if i >= shortCount {
			near, far = &g.longNear, &g.longFar
		}
		if u.Region == region {
			near.members = append(near.members, u)
		} else {
			far.members = append(far.members, u)
		}
	}
	return g
}
