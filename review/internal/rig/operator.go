package rig

import (
	"encoding/json"
	"fmt"
	"time"
)

// Route is a rule of a desired state.
type Route struct {
	Name, Kind, Prefix, Service string
	TimeoutS                    float64
}

// HostName is the host that clients ask for.
const HostName = "ficu95.example"

// Config returns a desired state with routes to services.
func Config(version int, services []string, routes []Route) []byte {
	var rules, clusters []map[string]any
	for _, r := range routes {
		rules = append(rules, map[string]any{"Name": r.Name, "Kind": r.Kind, "TargetLatencyS": 0.2, "Priority": 1, "Sticky": true,
			"Match":  map[string]any{"PathPrefix": r.Prefix},
			"Action": map[string]any{"Service": r.Service, "TimeoutS": r.TimeoutS, "MaxAttempts": 2, "AllowedRegions": []string{}}})
	}
	for _, name := range services {
		clusters = append(clusters, map[string]any{"Name": name, "HealthCheckPath": "/health", "MaxConnections": 780, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 7.7})
	}
	body, err := json.Marshal(map[string]any{"Version": fmt.Sprintf("%08x", version),
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []any{map[string]any{"Host": HostName, "Rules": rules}}, "Clusters": clusters})
	if err != nil {
		panic(err) // the document holds only strings and numbers
	}
	return body
}

// Order sends an order of the operator, first to the control host with the number first
// and, after each failure, to the next one, with growing pauses. It returns the time of
// the acknowledgement.
func (r *Rig) Order(what, method, path string, body []byte, first int) time.Time {
	pause := 50 * time.Millisecond
	for i := range 60 {
		to := r.Cores[(first+i)%len(r.Cores)]
		r.Record.Line("operator sends %s to %s", what, to.Name)
		status := r.Call(to, method, path, body)
		r.Record.Line("operator gets %d for %s from %s", status, what, to.Name)
		if status/100 == 2 {
			return time.Now()
		}
		if status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			r.Cannot("%s refused with %d", what, status)
		}
		time.Sleep(pause)
		pause = min(2*pause, 800*time.Millisecond)
	}
	r.Cannot("%s not acknowledged", what)
	return time.Time{}
}
