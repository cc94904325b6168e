// Package customers holds the customers of a configuration and finds the customer of a request by the key that its caller sends. A Table is
// immutable; each new configuration has a new one. A Table keeps no keys, only their keyed hashes, and no key appears in logs or errors.
package customers

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"math"
	"slices"

	"github.com/gravitational/trace"
)

// Customer is a customer whose callers send requests with one of its keys.
type Customer struct {
	Name string
	// Priority is the priority of the customer's requests; 0 is the most urgent. It is valid if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst limit the requests of the customer on all hosts together: in any time at most RatePerSecond for each second, and
	// Burst more. A RatePerSecond of 0 means no limit.
	RatePerSecond float64 // requests per second
	Burst         float64 // requests
}

// Limited reports whether the customer's requests are limited.
func (c *Customer) Limited() bool { return c.RatePerSecond > 0 }

// Entry is a customer of a configuration, with its keys.
type Entry struct {
	Customer
	Keys []string
}

// Table finds customers by key and by name.
type Table struct {
	// byDigest maps the first bytes of a key's digest, which index the table, to the whole digest and its customer. The digest is keyed with a
	// secret of this process, so that neither the time of a lookup nor the contents of the table tell anything about keys.
	byDigest map[digestIndex]holder
	byName   map[string]*Customer
	keys     map[string][]string // fingerprints of a customer's keys, by its name
	limited  []string            // names of the customers with a limit
}

type digest [sha256.Size]byte

// digestIndex is the part of a digest that indexes the table. Two keys of a table with an equal index do not occur in practice.
type digestIndex [16]byte

type holder struct {
	digest   digest
	customer *Customer
}

// hashSecret keys the digests of this process.
var hashSecret = func() (secret [sha256.Size]byte) {
	_, _ = rand.Read(secret[:]) // never fails: the runtime ends the process if there are no random numbers
	return secret
}()

func keyDigest(key string) (d digest) {
	h := hmac.New(sha256.New, hashSecret[:])
	h.Write([]byte(key))
	h.Sum(d[:0])
	return d
}

// fingerprintBytes is the number of bytes of a fingerprint, which is written as twice as many hexadecimal digits.
const fingerprintBytes = 4

// Fingerprint returns what logs and operators get to see of a key: the same 8 hexadecimal digits on all hosts.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// New returns the table of a configuration's customers, or nil if entries is empty. The error lists what is left out: customers without a
// name or with a name, rate or burst that is not valid, and keys that two customers hold, which identify neither of them. The table is
// returned also with an error, since a configuration that has customers must not be served as one without.
func New(entries []Entry) (*Table, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	t := &Table{byDigest: map[digestIndex]holder{}, byName: map[string]*Customer{}, keys: map[string][]string{}}
	var errs []error
	shared := map[digestIndex]bool{}
	for i := range entries {
		if err := t.add(&entries[i], shared); err != nil {
			errs = append(errs, err)
		}
	}
	for index := range shared {
		delete(t.byDigest, index)
	}
	return t, trace.NewAggregate(errs...)
}

// add adds a customer. The indexes of keys that an earlier customer holds are added to shared.
func (t *Table) add(e *Entry, shared map[digestIndex]bool) error {
	if err := e.check(); err != nil {
		return err
	}
	if t.byName[e.Name] != nil {
		return trace.BadParameter("customer %q is listed twice: list each once", e.Name)
	}
	c := e.Customer
	t.byName[c.Name] = &c
	if c.Limited() {
		t.limited = append(t.limited, c.Name)
	}
	var errs []error
	for _, key := range e.Keys {
		d := keyDigest(key)
		index := digestIndex(d[:len(digestIndex{})])
		other, held := t.byDigest[index]
		switch {
		case key == "":
			errs = append(errs, trace.BadParameter("a key of customer %q is empty: leave it out", c.Name))
		case held && other.customer != &c:
			shared[index] = true
			errs = append(errs, trace.BadParameter("the key with the fingerprint %s is held by customers %q and %q and identifies neither: give each a key of its own",
				Fingerprint(key), other.customer.Name, c.Name))
		case !held:
			t.byDigest[index] = holder{d, &c}
			t.keys[c.Name] = append(t.keys[c.Name], Fingerprint(key))
		}
	}
	return trace.NewAggregate(errs...)
}

func (e *Entry) check() error {
	switch {
	case e.Name == "":
		return trace.BadParameter("a customer has no name: name it")
	case slices.ContainsFunc([]byte(e.Name), func(c byte) bool { return c < ' ' || c > '~' }):
		return trace.BadParameter("the name %q of a customer contains a character that no header field may have: use printable ASCII", e.Name)
	case !(e.RatePerSecond >= 0 && e.RatePerSecond <= math.MaxFloat64 && e.Burst >= 0 && e.Burst <= math.MaxFloat64): // NaN compares false
		return trace.BadParameter("the rate or the burst of customer %q is negative or not a finite number: use 0 or more requests", e.Name)
	}
	return nil
}

// Lookup returns the customer that holds a key. It takes the same time for any number of keys.
func (t *Table) Lookup(key string) (*Customer, bool) {
	d := keyDigest(key)
	h, ok := t.byDigest[digestIndex(d[:len(digestIndex{})])]
	if !ok || subtle.ConstantTimeCompare(h.digest[:], d[:]) != 1 {
		return nil, false
	}
	return h.customer, true
}

// Get returns the customer with a name, or nil.
func (t *Table) Get(name string) *Customer {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Names returns the names of all customers, sorted.
func (t *Table) Names() (names []string) {
	if t == nil {
		return nil
	}
	for name := range t.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Limited returns the names of the customers with a limit. The result must not be modified.
func (t *Table) Limited() []string {
	if t == nil {
		return nil
	}
	return t.limited
}

// Fingerprints returns the fingerprints of a customer's keys. A key that another customer holds too may be among them.
func (t *Table) Fingerprints(name string) []string { return t.keys[name] }
