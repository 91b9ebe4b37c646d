package fake

// Networks of a worker's addresses.
const (
	NetworkTCP4 = "tcp4"
	NetworkTCP6 = "tcp6"
	NetworkUnix = "unix"
)

// Address is where a worker listens.
type Address struct {
	Network string
	Addr    string // the host and port, or the path of a Unix socket
}
