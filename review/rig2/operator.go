package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorTimeout is how long the operator waits for one answer.
const operatorTimeout = time.Second

var operator = &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one call of the operator to a machine. The status is 0 without an answer.
func call(n *node, method, path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", n.ip, portControl, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := operator.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// route is one rule of a desired state.
type route struct{ name, kind, prefix, service string }

// desiredState returns a desired state with a version and routes.
func desiredState(version int, routes []route) []byte {
	type object = map[string]any
	var rules, clusters []object
	known := map[string]bool{}
	for _, r := range routes {
		rules = append(rules, object{"Name": r.name, "Kind": r.kind, "TargetLatencyS": 1, "Priority": 1, "Sticky": false,
			"Match":  object{"PathPrefix": r.prefix},
			"Action": object{"Service": r.service, "TimeoutS": 5, "MaxAttempts": 2, "AllowedRegions": []string{}}})
		if !known[r.service] {
			known[r.service] = true
			clusters = append(clusters, object{"Name": r.service, "HealthCheckPath": "/health", "MaxConnections": 780,
				"Protocol": "h1", "Tls": false, "ColdStartS": 0.5, "ColdPerS": 50})
		}
	}
	text, err := json.Marshal(object{"Version": fmt.Sprintf("%08x", version),
		"Limits":    object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": []object{{"Host": hostName, "Rules": rules}}, "Clusters": clusters})
	if err != nil {
		panic(err) // maps of plain values can be encoded
	}
	return text
}

// hostName is the host of all routes.
const hostName = "desk.example"

// submit sends a desired state to one machine after another until one acknowledges it.
func (r *rig) submit(version int, body []byte, machines []*node, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i := 0; time.Now().Before(deadline); i++ {
		n := machines[i%len(machines)]
		status, answer := call(n, http.MethodPut, "/v1/config", body)
		if status == http.StatusOK {
			r.note("operator: version %d acknowledged by %s", version, n.name)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("version %d was refused by %s: %d %s", version, n.name, status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged within %v", version, limit)
}

// read asks one machine for the desired state. The version is 0 without an answer.
func read(n *node) (status, version int) {
	status, body := call(n, http.MethodGet, "/v1/config", nil)
	if status != http.StatusOK {
		return status, 0
	}
	var state struct{ Version string }
	if json.Unmarshal(body, &state) != nil {
		return status, 0
	}
	if _, err := fmt.Sscanf(state.Version, "%x", &version); err != nil {
		return status, 0
	}
	return status, version
}
