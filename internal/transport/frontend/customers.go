package frontend

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"github.com/arbutusspan/arbutusspan/internal/protocol/callerapi"
	"github.com/arbutusspan/arbutusspan/internal/state/contract"
	"github.com/arbutusspan/arbutusspan/internal/state/limits"
	"github.com/arbutusspan/arbutusspan/internal/state/refusals"
)

// Customers is an immutable snapshot of the contracts in force, by customer.
type Customers struct {
	ByName map[string]*Customer
}

// Customer is one customer with its contract and limits.
type Customer struct {
	Contract *contract.Contract
	Revision uint64
	Limits   limits.Set

	once    sync.Once
	digests [][sha256.Size]byte
}

// secretDigests returns the SHA-256 digests of the customer's secrets. They are decoded once per Customer.
func (c *Customer) secretDigests() [][sha256.Size]byte {
	c.once.Do(func() {
		for _, credential := range c.Contract.Credentials {
			var d [sha256.Size]byte
			if n, err := hex.Decode(d[:], []byte(credential.SHA256)); err == nil && n == len(d) {
				c.digests = append(c.digests, d)
			}
		}
	})
	return c.digests
}

const bearer = "Bearer "

// authenticate checks the bearer token of a request. It also returns the name of the customer in the token, even if the token is refused.
func (s *Server) authenticate(r *http.Request) (*Customer, string, *refusals.Refusal) {
	token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	name, secret, hasSecret := strings.Cut(token, ".")
	if !isBearer || !hasSecret {
		return nil, "", &refusals.Refusal{Reason: refusals.CredentialsMissing, Ran: refusals.RanNo,
			Detail: "the request carries no bearer token of the form CUSTOMER.SECRET", Remedy: "send Authorization: Bearer CUSTOMER.SECRET"}
	}
	customer := s.cfg.Customers().ByName[name]
	if customer == nil {
		return nil, name, &refusals.Refusal{Reason: refusals.CustomerUnknown, Ran: refusals.RanNo,
			Detail: "no contract is in force for the customer of the token", Remedy: "check the customer's name, or ask the operator to publish a contract"}
	}
	digest := sha256.Sum256([]byte(secret))
	match := 0
	for _, d := range customer.secretDigests() {
		match |= subtle.ConstantTimeCompare(digest[:], d[:])
	}
	if match == 0 {
		return nil, name, &refusals.Refusal{Reason: refusals.CredentialsWrong, Ran: refusals.RanNo, Customer: name, Clause: "/credentials",
			Detail: "the secret matches no credential of the contract", Remedy: "use a secret whose SHA-256 is in the contract"}
	}
	return customer, name, nil
}

const maxRequestIDLength = 64

func validRequestID(id string) bool {
	for i := range len(id) {
		c := id[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '_' && c != '-' {
			return false
		}
	}
	return id != "" && len(id) <= maxRequestIDLength
}

// withRequestID sets the request id header of each request and its response: to the caller's id if it is valid, else to a random one.
func withRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(callerapi.HeaderRequestID)
		if !validRequestID(id) {
			id = rand.Text()
			r.Header.Set(callerapi.HeaderRequestID, id)
		}
		w.Header().Set(callerapi.HeaderRequestID, id)
		next.ServeHTTP(w, r)
	})
}

func requestID(r *http.Request) string { return r.Header.Get(callerapi.HeaderRequestID) }
