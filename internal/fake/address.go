package fake

// Values of Address.Network.
const (
	NetworkTCP4 = "tcp4"
	NetworkTCP6 = "tcp6"
	NetworkUnix = "unix"
)

// Address is an address that a worker listens on.
type Address struct {
	Network string
	Addr    string // host and port, or the path of a Unix socket
}
