package bundle

import "fmt"

// metaKey is the key of the record that holds the deployment's name.
const metaKey = "meta/deployment"

// metaKind handles the record of the deployment's name, the only one that does
// not come from a list.
type metaKind struct{}

func (metaKind) name() string { return "meta" }

func (metaKind) sort(*Bundle) {}

func (metaKind) walk(b *Bundle, fn func(key, value []byte)) {
	fn([]byte(metaKey), []byte(b.Deployment))
}

func (metaKind) diff(from, to *Bundle, change func(Change)) {
	if from.Deployment != to.Deployment {
		change(Change{Key: metaKey, Value: []byte(to.Deployment)})
	}
}

func (metaKind) apply(from, to *Bundle, changes []Change) error {
	to.Deployment = from.Deployment
	for _, c := range changes {
		if c.Key != metaKey || c.Removed {
			return fmt.Errorf("delta record %s is unknown or cannot be removed", c.Key)
		}
		to.Deployment = string(c.Value)
	}
	return nil
}
