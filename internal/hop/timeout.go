package hop

import (
	"errors"
	"net"
)

// IsTimeout reports whether a network operation ended by its time limit.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
