// Package prover holds the failure tests that run several nodes in one process
// over fakes, in virtual time and with fixed seeds.
package prover
