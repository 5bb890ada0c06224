// Package measurer holds the rig that measures decisions under load: both
// users' deployments over fakes, in virtual time and with fixed seeds, through
// the code that serves. Each policy is measured beside the plain baseline that
// it has to beat.
package measurer
