package gateway

// countOwnDelay counts a timeout that says nothing about an endpoint or another host, because this host got no processor to see the response.
func (g *Gateway) countOwnDelay() { g.metrics.Add("timeouts_own_delay_total", 1) }
