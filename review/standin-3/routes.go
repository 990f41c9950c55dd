package main

import "fmt"

// Paths of clients' requests, one for each route.
const (
	streamPath = "/lohu930/2f"
	plainPath  = "/puxa403/2f"
	unsafePath = "/pule252/2f"
)

// Services of the routes.
const (
	engines  = "huvo11a"
	plain    = "wuno96b"
	newPlain = "wuno97c"
)

// streamRoute is a route for streams that may be resumed, with the figures of the users' pages.
func streamRoute() object {
	return object{
		"name": "r-5pa2yhv", "host": routeHost, "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 25000, "target-latency-ms": 4500,
		"priority": 1, "service": engines, "max-attempts": 5, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 700,
	}
}

// safeRoute is a route for safe requests to a plain service.
func safeRoute(service string) object {
	return object{
		"name": "r-z3pfi6y", "host": routeHost, "path-prefix": "/puxa403/", "kind": "safe", "timeout-ms": 1000, "target-latency-ms": 150,
		"priority": 2, "service": service, "max-attempts": 2, "public": false,
	}
}

// engineService is a service of engines.
func engineService() object {
	return object{
		"name": engines, "health-path": "/healthz", "max-connections": 360, "protocol": "h1", "tls": false,
		"runtime": object{
			"slots": 64, "kv-capacity": 88000, "kv-bytes": 18432, "bandwidth-mbps": 180000.0, "migrations": false, "backups": false,
			"interval": 6, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "ref-ttl-s": 4.0, "model-list": []object{{"name": "m"}},
		},
	}
}

// plainService is a service without engines.
func plainService(name string) object {
	return object{"name": name, "health-path": "/healthz", "max-connections": 96, "protocol": "h1", "tls": false}
}

// zoneCount is the number of zones.
const zoneCount = 4

// startReplicas starts replicas of a service, spread over the zones.
func (w *world) startReplicas(service string, count int) error {
	for i := range count {
		if _, err := w.startReplica(fmt.Sprintf("i-%s-%d", service, i+1), service, fmt.Sprintf("z%d", i%zoneCount+1)); err != nil {
			return err
		}
	}
	return nil
}

// startServices writes a configuration with a streaming route and a safe one, and starts so many engines and two replicas
// of the plain service.
func (w *world) startServices(engineCount int) error {
	if err := w.putConfig(7, []object{streamRoute(), safeRoute(plain)}, []object{engineService(), plainService(plain)}); err != nil {
		return err
	}
	if err := w.startReplicas(engines, engineCount); err != nil {
		return err
	}
	return w.startReplicas(plain, 2)
}
