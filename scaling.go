package quetzalroad

import "time"

// Scaling describes how the upstreams of a service can be ordered.
type Scaling struct {
	// Minimum and Maximum bound the upstreams of the service in each data centre, spot and others together.
	// Maximum is positive and not below Minimum.
	Minimum, Maximum int
	// BootTime is the time between an order and the first request that a new upstream serves.
	BootTime time.Duration
	// SpotPrice is the price of spot upstreams relative to the others; zero if none are offered.
	SpotPrice float64
	// Prices lists the data centres in which upstreams can be ordered, at least one, sorted by name.
	Prices []DataCentrePrice
}

// OrderInForce is an order as the holder of the lease saves it for the next one.
type OrderInForce struct {
	UpstreamOrder
	// Confirmed reports whether the platform is known to have accepted it.
	Confirmed bool
}

// DataCentrePrice is the price of an upstream's second in a data centre.
type DataCentrePrice struct {
	DataCentre DataCentre
	// Price is positive.
	Price float64
}
