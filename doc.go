// Package quetzalroad holds the domain types of the router and the interfaces
// behind which its behaviour varies.
//
// Implementations live in the packages below this one, register themselves
// with the kernel by name and never import one another: they meet through the
// interfaces declared here. Domain types carry no encoding tags; the mapper
// packages translate them to and from their wire forms.
package quetzalroad
