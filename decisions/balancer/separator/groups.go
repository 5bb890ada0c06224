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
	// changing are the engines that change pools. They get new work only if all others are unusable.
	changing []quetzalroad.Upstream
}

func (g *engineGroups) all() [4]*group {
	return [...]*group{&g.shortNear, &g.shortFar, &g.longNear, &g.longFar}
}

// newEngineGroups divides engines: those before shortEnd are the short pool, those from longStart on the long one.
// The ones between them change pools.
func newEngineGroups(order []quetzalroad.Upstream, shortEnd, longStart int, region quetzalroad.Region) *engineGroups {
	g := &engineGroups{longPool: order[longStart:], changing: order[shortEnd:longStart]}
	g.longNear.inLongPool, g.longFar.inLongPool = true, true
	for i, u := range order {
		if shortEnd <= i && i < longStart {
			continue
		}
		near, far := &g.shortNear, &g.shortFar
		if i >= longStart {
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
