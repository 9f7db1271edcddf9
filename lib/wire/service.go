package wire

// HasPriorities reports whether the kinds of a service have more than one
// priority.
func (d *Directory) HasPriorities(service string) bool {
	for _, s := range d.GetServices() {
		if s.GetName() != service {
			continue
		}
		for _, kind := range s.GetKinds() {
			if kind.GetPriority() != s.GetKinds()[0].GetPriority() {
				return true
			}
		}
	}
	return false
}
