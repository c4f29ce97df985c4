package lab

// Host is the host of the routes.
const Host = "ficu95.example"

// Route returns a route of a desired state.
func Route(name, prefix, kind, service string, attempts, timeoutMs int) map[string]any {
	return map[string]any{
		"gapAimMs": 400, "host": Host, "kind": kind, "maxAttempts": attempts, "name": name, "pathPrefix": prefix, "priority": 2,
		"resumable": false, "service": service, "sticky": kind == "streaming", "targetLatencyMs": 300, "timeoutMs": timeoutMs,
	}
}

// Service returns a service without models.
func Service(name string) map[string]any {
	return map[string]any{"healthPath": "/health", "maxConns": 96, "name": name, "protocol": "h1", "tls": false}
}

// Desired returns a desired state with the limits of the deployments.
func Desired(version int, routes, services []any) map[string]any {
	return map[string]any{
		"limits": map[string]any{"bodyBytes": BodyBytes, "headerBytes": 16384, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"routes": routes, "services": services, "version": version,
	}
}

// BodyBytes is the largest body that consumers may send.
const BodyBytes = 4194304

// PutDesired writes the desired state.
func (s *Store) PutDesired(state map[string]any) { s.Put("keyed.op", "config", state) }

// Engine returns a service of runners with one model.
func Engine(name, model string) map[string]any {
	return map[string]any{
		"engine": map[string]any{
			"adapterSlots": 4, "loadsPerS": 4.2,
			"models": []any{map[string]any{"adapterMb": 12, "adapters": 0, "diskS": 0.8, "loadS": 6, "name": model, "warmS": 0.4, "weightsMb": 65100}},
			"slots":  64, "weightsMb": 220000,
		},
		"healthPath": "/health", "maxConns": 360, "name": name, "protocol": "h1", "tls": false,
	}
}
