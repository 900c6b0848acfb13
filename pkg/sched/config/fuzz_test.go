package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched/config"
)

// Guards against a stored configuration that makes entries panic, or that loses
// its revision.
func FuzzStored(f *testing.F) {
	f.Fuzz(func(t *testing.T, value []byte) {
		if s, err := config.DecodeStored(value); err == nil {
			require.NotZero(t, s.Revision)
		}
	})
}
