// Package soak is a randomized fault test. It runs the real program as separate
// processes on one machine, against an emulated platform, and injects faults. A
// loopback proxy for each entry cuts, delays, resets or silences the connections to
// the store. Signals pause, stop and kill processes, which are started again.
// Workers crash, answers are lost, and keys and the history of the store are
// removed. Workers also restart so soon that nobody notices: with their paths cut right
// after, with a time of day that was set back, or while orders are seconds late.
// Meanwhile callers submit and cancel jobs and ask for their states.
// The test checks the guarantees against what callers and workers saw.
//
// # Usage
//
//	go test ./internal/soak                                  # one short seed, as in CI
//	MANGOSLIP_SOAK_SEEDS=50 go test ./internal/soak -timeout 60m
//	MANGOSLIP_SOAK_SEED=17 go test ./internal/soak -run Soak # one seed again
//
// The logs of a seed that failed are kept in the directory that the test prints.
package soak
