package main

import (
	"flag"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mangoslip/mangoslip/internal/intake"
	"github.com/mangoslip/mangoslip/internal/quota"
	"github.com/mangoslip/mangoslip/pkg/sched"
	"github.com/mangoslip/mangoslip/platform/setup"
)

// intakeFlags are the bounds of what callers can make an entry hold.
type intakeFlags struct {
	conns, reserve, headerBytes, receiveBuffer int
	bytes, rate, jobBytes                      int64
	bodyTime, bodyGrace, idle, write           time.Duration
}

func (i *intakeFlags) set(f *flag.FlagSet) {
	f.IntVar(&i.conns, "max-caller-connections", 0, "open connections of callers; 0: derived from the descriptors and the memory")
	f.IntVar(&i.reserve, "reserve-fds", intake.DefaultReserve, "descriptors that callers' connections do not use")
	f.Int64Var(&i.bytes, "body-budget-bytes", 0, "received bytes of all bodies in progress; 0: derived from the memory")
	f.Int64Var(&i.jobBytes, "job-budget-bytes", 0, "memory of all accepted jobs in the leader; 0: derived from the memory")
	f.DurationVar(&i.bodyTime, "body-time", intake.DefaultBodyTime, "longest time of a caller's body")
	f.DurationVar(&i.bodyGrace, "body-grace", intake.DefaultBodyGrace, "time of a body from which its rate is checked")
	f.Int64Var(&i.rate, "body-rate", intake.DefaultBodyRate, "minimum mean rate of a body after -body-grace, in bytes a second")
	f.DurationVar(&i.idle, "idle-time", intake.DefaultIdleTime, "longest pause between the requests of a caller's connection")
	f.DurationVar(&i.write, "write-time", intake.DefaultWriteTime, "longest time from the header of a request to the end of its answer")
	f.IntVar(&i.headerBytes, "max-header-bytes", intake.DefaultHeaderBytes, "size of a request's header")
	f.IntVar(&i.receiveBuffer, "receive-buffer", intake.DefaultReceiveBuffer, "receive buffer of a caller's connection in the kernel, in bytes")
}

func (i *intakeFlags) validate() error {
	if i.conns < 0 || i.bytes < 0 || i.jobBytes < 0 || i.reserve < 0 {
		return eris.New("-max-caller-connections, -body-budget-bytes, -job-budget-bytes and -reserve-fds cannot be negative")
	}
	if i.rate <= 0 || i.headerBytes <= 0 || i.receiveBuffer <= 0 {
		return eris.New("-body-rate, -max-header-bytes and -receive-buffer have to be positive")
	}
	if i.bodyTime <= 0 || i.bodyGrace <= 0 || i.idle <= 0 || i.write <= i.bodyTime {
		return eris.New("the times of bodies and connections have to be positive, and -write-time above -body-time")
	}
	return nil
}

// jobBound returns the bound on the memory of accepted jobs.
func (i *intakeFlags) jobBound(s setup.Settings) sched.Bytes {
	if i.jobBytes > 0 {
		return sched.Bytes(i.jobBytes)
	}
	return quota.Bound(s.Memory)
}

// callers returns the limits of the callers' listener.
func (i *intakeFlags) callers(s setup.Settings) intake.Limits {
	l := intake.ForCallers(s.Memory, s.MaxFiles, i.reserve)
	if i.conns > 0 {
		l.Conns = i.conns
	}
	if i.bytes > 0 {
		l.Bytes = i.bytes
	}
	l.BodyTime, l.BodyGrace, l.BodyRate = i.bodyTime, i.bodyGrace, i.rate
	l.IdleTime, l.WriteTime = i.idle, i.write
	l.HeaderBytes, l.ReceiveBuffer = i.headerBytes, i.receiveBuffer
	return l
}
