package planner

import "time"

// DefaultPolicy returns the parameters of the default settings.
func DefaultPolicy() Policy {
	return Policy{
		TargetOccupancy: 0.55, Burst: 1.7, PeakReserve: 1.15, LossShare: 0.17, BaseShare: 0.35,
		RaiseBand: 0.05, DeadBand: 0.15, StepShare: 0.2, StepInterval: 5 * time.Second,
		PeakHold: 2 * time.Minute, SettleTime: 5 * time.Second, BootMargin: 3 * time.Second, LateShare: 0.08,
	}
}
