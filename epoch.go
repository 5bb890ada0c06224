package quetzalroad

// Epoch numbers the histories of a log. A log that is restored from an older copy begins a new epoch: its
// latest records are lost, and their offsets are given out again. Zero means that the log states no epoch.
type Epoch uint64
