package wire

// IsEvacuated reports whether the data centre with that name is evacuated.
func (d *Directory) IsEvacuated(dataCentre string) bool {
	for _, one := range d.GetDataCentres() {
		if one.GetName() == dataCentre {
			return one.GetEvacuated()
		}
	}
	return false
}
