package event

//go:generate go test -run TestPageHoldsCatalogue -update
