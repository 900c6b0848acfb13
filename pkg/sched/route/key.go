package route

import "math/rand/v2"

// weightedKey returns a key in [0, 1) that is larger with more weight. The
// largest of several keys is drawn with a chance proportional to its weight.
func weightedKey(rng *rand.Rand, weight float64) float64 {
	const belowOne = 1 - 1e-9
	return min(1/(1+rng.ExpFloat64()/weight), belowOne)
}
