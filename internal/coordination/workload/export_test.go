package workload

// MaxKeys is the bound of the state of a service.
const MaxKeys = maxKeys

// Size returns the number of keys that are kept.
func (e *Estimators) Size() int {
	size := 0
	e.byService.Range(func(_, value any) bool {
		s := value.(*service)
		s.mu.Lock()
		defer s.mu.Unlock()
		size += len(s.references) + len(s.lengths) + len(s.sizes.byKey)
		return true
	})
	return size
}
