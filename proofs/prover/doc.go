// Package prover holds the failure tests, which run several nodes in one process
// against fakes, in virtual time and with fixed seeds.
package prover
