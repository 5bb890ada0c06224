// Package quetzalroad declares the router's domain types and the interfaces
// whose implementations can be replaced.
//
// Implementations live in the packages below this one, register themselves
// with the kernel by name and never import one another; they share only the
// interfaces declared here. Domain types carry no encoding tags: the mapper
// packages convert them to and from their wire formats.
package quetzalroad
