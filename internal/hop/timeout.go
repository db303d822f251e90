package hop

import (
	"errors"
	"net"
)

// IsTimeout reports whether err is, or wraps, a network timeout.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
