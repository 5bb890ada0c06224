// Package measurer measures decisions under load: it simulates both users' deployments with fakes,
// in virtual time and with fixed seeds, but runs the production code of the router. The router's
// policy is compared with a baseline policy that it has to outperform.
package measurer
