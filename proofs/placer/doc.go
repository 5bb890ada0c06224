// Package placer replays load patterns against the choice of an engine, in simulated time: nodes with
// the production balancer and load tracker send requests to engines that batch, read prompts in
// chunks and cache their beginnings. The outcome is counted by class, beside what the engines could
// have served at best.
package placer
