// Package crowd tests that clients that nobody controls cannot end an entry. It runs
// the real program as a process against an emulated platform, with lowered limits of
// memory and descriptors in its settings. Many connections at once send bodies that
// stop just short of their end and stay open, or whole bodies of legal size. The
// tests check that the process lives, that its resident memory and open descriptors
// stay under a bound, that an ordinary job is accepted afterwards and that the
// process ends on SIGTERM. They check no times.
//
// # Usage
//
//	go test ./internal/crowd
//
// The ports are below those of package soak. The tests run one at a time. The
// program is built without the race detector, which multiplies its memory.
package crowd
