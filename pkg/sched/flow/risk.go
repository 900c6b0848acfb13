package flow

import "github.com/mangoslip/mangoslip/internal/cache"

// maxCachedRisks bounds the cached risks of a worker, because callers name the images.
const maxCachedRisks = 512

// risk returns the highest estimate for a best-effort image with the
// latency-critical images on a worker.
func (m *Machine) risk(w *worker, bestEffort string) float64 {
	r := w.risksAt(m.interference.version)
	worst, ok := r.of.Get(bestEffort)
	if !ok {
		for _, image := range w.criticalImages() {
			worst = max(worst, m.interference.estimate(image, bestEffort))
		}
		r.of.Put(bestEffort, worst)
	}
	return worst
}

// riskCache caches the risks of a worker for one version of the estimates and
// one set of latency-critical images, because a pass needs each of them many
// times.
type riskCache struct {
	version uint64
	of      *cache.Cache[string, float64]
	// maxCompatible is the highest interference share of the best-effort images
	// that are compatible with the worker, negative if it is not computed yet.
	maxCompatible float64
}

// risksAt returns the cache for a version of the estimates, emptied if it was
// for another version.
func (w *worker) risksAt(version uint64) *riskCache {
	if w.riskCache.of == nil || w.riskCache.version != version {
		w.resetRisks(version)
	}
	return &w.riskCache
}

func (w *worker) resetRisks(version uint64) {
	if w.riskCache.of == nil {
		w.riskCache.of = cache.New[string, float64](maxCachedRisks)
	}
	w.riskCache.of.Clear()
	w.riskCache.version, w.riskCache.maxCompatible = version, -1
}
