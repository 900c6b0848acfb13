package logger_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangoslip/mangoslip/internal/logger"
)

// Guards against a log that grows with the keys that others write.
func TestOnce(t *testing.T) {
	var o logger.Once
	require.True(t, o.First("a"))
	require.False(t, o.First("a"))
	logged := 0
	for i := range 1000 {
		if o.First(strconv.Itoa(i)) {
			logged++
		}
	}
	require.Equal(t, 99, logged)
}
