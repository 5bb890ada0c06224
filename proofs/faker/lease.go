package faker

import (
	"context"
	"sync"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

// Leases is the lease of a deployment, which a test grants and revokes. The zero value has no holder.
type Leases struct {
	mu sync.Mutex
	// The fields below are guarded by mu. holder is nil if no node holds the lease.
	holder     *LeaseHolder
	token      quetzalroad.FencingToken
	end        context.CancelFunc
	saved      map[quetzalroad.DutyName][]byte
	lostBefore time.Time
	// saveError is the error of each attempt to save.
	saveError error
	// onSaved is called once, after the next state was saved.
	onSaved func()
}

// LeaseHolder is a node that may hold the lease. It implements quetzalroad.Leaser.
type LeaseHolder struct {
	writer quetzalroad.KeyedWriter
	duties []quetzalroad.Duty
}

// Declare implements kernel.Component.
func (*LeaseHolder) Declare(*configloader.Section) {}

// Build implements kernel.Component.
func (h *LeaseHolder) Build(n *kernel.Node) error {
	h.writer = n.KeyedWriter
	n.Leaser = h
	return nil
}

// AddDuty implements quetzalroad.Leaser.
func (h *LeaseHolder) AddDuty(d quetzalroad.Duty) { h.duties = append(h.duties, d) }

// Holder implements quetzalroad.Leaser.
func (*LeaseHolder) Holder() (quetzalroad.LeaseHolder, bool) { return quetzalroad.LeaseHolder{}, false }

// Grant gives the lease to a node. No other holds it.
func (l *Leases) Grant(h *LeaseHolder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	l.token++
	l.holder, l.end = h, cancel
	granted := &lease{leases: l, holder: h, token: l.token}
	for _, d := range h.duties {
		go d.Perform(ctx, granted)
	}
}

// Revoke takes the lease from its holder.
func (l *Leases) Revoke() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end()
	l.holder = nil
}

// IsHolder reports whether a node holds the lease.
func (l *Leases) IsHolder(h *LeaseHolder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder == h
}

// SetSaveError makes every attempt to save fail, or work again.
func (l *Leases) SetSaveError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saveError = err
}

// AfterNextSave has a function called once, after the next state was saved.
func (l *Leases) AfterNextSave(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onSaved = f
}

// Copy returns the saved states, for Restore.
func (l *Leases) Copy() map[quetzalroad.DutyName][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.saved
}

// Restore replaces the saved states by a copy, as that of a log does.
func (l *Leases) Restore(saved map[quetzalroad.DutyName][]byte, lostBefore time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saved, l.lostBefore = saved, lostBefore
}

// lease implements quetzalroad.Lease.
type lease struct {
	leases *Leases
	holder *LeaseHolder
	token  quetzalroad.FencingToken
}

// Token implements quetzalroad.Lease.
func (l *lease) Token() quetzalroad.FencingToken { return l.token }

// State implements quetzalroad.Lease.
func (l *lease) State(d quetzalroad.DutyName) []byte {
	return l.leases.Copy()[d]
}

// LostBefore implements quetzalroad.Lease.
func (l *lease) LostBefore() time.Time {
	l.leases.mu.Lock()
	defer l.leases.mu.Unlock()
	return l.leases.lostBefore
}

// Save implements quetzalroad.Lease. It depends on the log.
func (l *lease) Save(ctx context.Context, d quetzalroad.DutyName, state []byte) error {
	if _, err := l.holder.writer.PutKeyed(ctx, quetzalroad.LogStreamLeases, string(d), state); err != nil {
		return err
	}
	onSaved, err := l.save(d, state)
	if onSaved != nil {
		onSaved()
	}
	return err
}

func (l *lease) save(d quetzalroad.DutyName, state []byte) (onSaved func(), err error) {
	t := l.leases
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.saveError != nil:
		return nil, t.saveError
	case t.token != l.token || t.holder == nil:
		return nil, quetzalroad.ErrLeaseEnded
	}
	saved := map[quetzalroad.DutyName][]byte{d: state}
	for other, s := range t.saved {
		if other != d {
			saved[other] = s
		}
	}
	onSaved, t.onSaved, t.saved = t.onSaved, nil, saved
	return onSaved, nil
}

// Check implements quetzalroad.Lease.
func (l *lease) Check(time.Duration) error {
	l.leases.mu.Lock()
	defer l.leases.mu.Unlock()
	if l.leases.token != l.token || l.leases.holder == nil {
		return quetzalroad.ErrLeaseEnded
	}
	return nil
}

// Unconfirmed implements quetzalroad.Lease.
func (*lease) Unconfirmed() {}
