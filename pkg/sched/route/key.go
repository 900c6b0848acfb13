package route

import "math/rand/v2"

// weightedKey returns a random key in [0, 1) that tends to be larger for a
// larger weight. Among several keys, each is the largest with a probability
// proportional to its weight.
func weightedKey(rng *rand.Rand, weight float64) float64 {
	const belowOne = 1 - 1e-9
	return min(1/(1+rng.ExpFloat64()/weight), belowOne)
}
