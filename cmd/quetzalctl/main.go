// Command quetzalctl is a program of the router.
package main

func main() {}
