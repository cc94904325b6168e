package callerapi

import "net/http"

// IsFinalStatus reports whether a status code may end an exchange: 200 to 599 (RFC 9110, section 15).
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 599 }
