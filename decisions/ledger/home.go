package ledger

import (
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaflow/verbenaflow/api/model"
)

// KeyID returns the request identifier of an account's idempotency key. It differs from the text form of every ticket,
// because the name of a failure domain contains no slash.
func KeyID(a model.AccountID, key string) model.RequestID {
	return model.RequestID("key/" + url.PathEscape(string(a)) + "/" + key)
}

// HomeDomain returns the only failure domain that runs requests with the key: the one named by a prefix "domain/",
// otherwise one chosen by a hash of the key over the sorted failure domains. If the set of failure domains changes,
// the home of keys without a prefix may change. HomeDomain returns "" if domains is empty.
func HomeDomain(key string, domains []model.FailureDomain) model.FailureDomain {
	if len(domains) == 0 {
		return ""
	}
	if prefix, _, ok := strings.Cut(key, "/"); ok && slices.Contains(domains, model.FailureDomain(prefix)) {
		return model.FailureDomain(prefix)
	}
	sorted := slices.Clone(domains)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	return sorted[xxhash.Sum64String(key)%uint64(len(sorted))]
}

// Fingerprint returns the fingerprint of a request's content, without the deadline.
func Fingerprint(r model.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{string(r.Account), r.Service, strconv.FormatBool(r.Repeatable), string(r.Payload)} {
		// The length prefix keeps the parts apart. Writes to a digest do not fail.
		_, _ = d.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return d.Sum64()
}
