package standin

import (
	"io"
	"net/http"
)

// bareMaxIdleConns is the size of the idle connection pool. It is large enough that the bare proxy opens no new connections under load.
const bareMaxIdleConns = 256

// NewBareProxy returns a minimal reverse proxy, the baseline for measurements of processor time. It forwards each request to the
// upstream (HOST:PORT) with one net/http client call and does nothing else.
func NewBareProxy(upstream string) http.Handler {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConns: bareMaxIdleConns, MaxIdleConnsPerHost: bareMaxIdleConns, DisableCompression: true}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+upstream+r.URL.RequestURI(), r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		req.Header, req.ContentLength = r.Header, r.ContentLength
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	})
}
