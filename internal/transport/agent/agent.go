package agent

import "net/http"

// Transport is an http.RoundTripper that sets the User-Agent header of each request to Name, unless Name is empty.
type Transport struct {
	Name string
	Base http.RoundTripper
}

// RoundTrip sends a request with the base transport, whose errors it returns unchanged.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.Name != "" {
		r.Header.Set("User-Agent", t.Name)
	}
	return t.Base.RoundTrip(r)
}
