// Package callerprover tests that the router's own process survives callers that are out of control. It starts the
// program on loopback addresses with an emulated store and upstream, plays one form of attack in each test, and checks
// that the process lives, that its memory and descriptors stay under a bound, and that it answers an ordinary request
// afterwards. The tests run one at a time and assert no times and no share of served requests.
package callerprover
