// Package soak runs the real program as separate processes on one machine,
// against the stand-in of the platform, while faults strike from outside: the
// way to the store is cut, delayed or reset by a loopback proxy for each entry,
// processes are paused, killed, stopped and started again by signals, workers
// crash, answers are lost, keys and history are taken away. Callers submit, ask
// and cancel all the while. The oracle is what callers and workers saw.
//
// # Usage
//
//	go test ./internal/soak                                  # one short seed, as in CI
//	MANGOSLIP_SOAK_SEEDS=50 go test ./internal/soak -timeout 60m
//	MANGOSLIP_SOAK_SEED=17 go test ./internal/soak -run Soak # one seed again
//
// The logs of a seed that failed are kept in the folder that the test names.
package soak
