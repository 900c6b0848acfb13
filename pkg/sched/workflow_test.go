package sched_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Guards against names of images that take as much memory as their callers like, and
// against two images that count as one.
func TestImageName(t *testing.T) {
	long := strings.Repeat("i", 64)
	require.Equal(t, long, sched.ImageName(long))
	require.Len(t, sched.ImageName(long+"i"), 64)
	require.NotEqual(t, sched.ImageName(long+"i"), sched.ImageName(long+"j"))
	require.Equal(t, sched.ImageName(long+"i"), sched.ImageName(long+"i"))
}
