package intaker

import (
	"context"
	"math"
	"time"

	"github.com/quetzalroad/quetzalroad"
)

// account implements quetzalroad.IntakeAccount.
type account struct {
	intaker    *Intaker
	interrupt  func()
	connection connection
	// entry is that of the current request; nil while it takes nothing beyond its free bytes. Its fields are
	// guarded by the lock of the intaker.
	entry *entry
	// tier and receivedBy are those of the current request.
	tier       quetzalroad.Tier
	receivedBy time.Time
	hasTier    bool
	received   bool
	// busy is set once a request has arrived on the connection.
	busy bool
}

// Hold implements quetzalroad.IntakeAccount.
func (a *account) Hold(ctx context.Context, bytes int) error {
	in := a.intaker
	bytes = max(0, bytes-in.freeBytes)
	if a.entry == nil {
		if bytes == 0 {
			return nil
		}
		a.entry = a.newEntry()
	}
	e := a.entry
	in.mu.Lock()
	if e.evicted {
		in.mu.Unlock()
		return in.memoryFull(bytes)
	}
	if bytes <= e.held {
		in.ledger.shrink(e, e.held-bytes)
		in.mu.Unlock()
		in.advance()
		return nil
	}
	missing := bytes - e.held
	granted, possible := in.ledger.grow(time.Now(), e, missing)
	in.mu.Unlock()
	if granted {
		return nil
	}
	if possible {
		in.advance()
		if in.awaitGrant(ctx, e) && a.Interrupted() == nil {
			return nil
		}
		in.advance()
	}
	return in.memoryFull(missing)
}

func (a *account) newEntry() *entry {
	e := &entry{tier: math.MaxInt, interrupt: a.interrupt, granted: make(chan struct{}, 1), received: a.received}
	if a.hasTier {
		e.tier, e.receivedBy = a.tier, a.receivedBy
	}
	return e
}

// SetUrgency implements quetzalroad.IntakeAccount.
func (a *account) SetUrgency(t quetzalroad.Tier, receivedBy time.Time) {
	a.tier, a.receivedBy, a.hasTier = t, receivedBy, true
	if a.entry == nil {
		return
	}
	a.intaker.mu.Lock()
	defer a.intaker.mu.Unlock()
	a.entry.tier, a.entry.receivedBy = t, receivedBy
}

// Interrupted implements quetzalroad.IntakeAccount.
func (a *account) Interrupted() *quetzalroad.Refusal {
	if !a.busy && a.intaker.connections.isEvicted(&a.connection) {
		return connectionsRefusal()
	}
	if a.entry == nil {
		return nil
	}
	a.intaker.mu.Lock()
	evicted, held := a.entry.evicted, a.entry.held
	a.intaker.mu.Unlock()
	if !evicted {
		return nil
	}
	return a.intaker.memoryFull(held)
}

// SetReceived implements quetzalroad.IntakeAccount.
func (a *account) SetReceived() *quetzalroad.Refusal {
	a.received = true
	if !a.busy {
		a.busy = a.intaker.connections.setBusy(&a.connection)
	}
	if a.entry != nil {
		a.intaker.mu.Lock()
		a.entry.received = !a.entry.evicted
		a.intaker.mu.Unlock()
	}
	return a.Interrupted()
}

// Release implements quetzalroad.IntakeAccount.
func (a *account) Release() {
	a.hasTier, a.received = false, false
	e := a.entry
	if e == nil {
		return
	}
	a.entry = nil
	in := a.intaker
	in.mu.Lock()
	in.ledger.shrink(e, e.held)
	in.mu.Unlock()
	in.advance()
}

// Close implements quetzalroad.IntakeAccount.
func (a *account) Close() {
	a.Release()
	a.intaker.connections.remove(&a.connection)
}
