package process

// ReadyFunc is called once a part accepts connections. Address is its address
// for other processes; announce is the address on which an agent receives the
// announcements of backend servers, empty for the other parts.
type ReadyFunc func(address, announce string)
