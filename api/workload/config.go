package workload

import "time"

// Route is the configuration of a queue.
type Route struct {
	Name Queue
	// Host and Prefix select the route of a call.
	Host, Prefix string
	Pool         Pool
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int
	// MaxAttempts is how often a task may fail; 0 means no limit.
	MaxAttempts int
	// Stretch is the factor of a job's longest chain of work that its completion time should not exceed.
	Stretch float64
	// Latency is added to the stretched work to give the completion objective.
	Latency time.Duration
	// Timeout bounds a call.
	Timeout time.Duration
	// Public queues take calls without a key.
	Public bool
	// Advised queues start tasks only on executors that the advisory service names.
	Advised bool
	// TicketValid is how long a ticket of the advisory service holds.
	TicketValid time.Duration
}

// Service is the configuration of a pool of executors.
type Service struct {
	Name Pool
	// EnforcesCapacity is set if the executors refuse what does not fit.
	EnforcesCapacity bool
	// Spare pools hold machines that are switched off.
	Spare bool
}

// Tenant is the configuration of a client account.
type Tenant struct {
	Name Account
	// Keys authenticate the calls of the account.
	Keys []string
	// Guaranteed is the number of accelerators that belong to the account's jobs of priority 0.
	Guaranteed int
}

// Limits bound the calls of clients.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody         int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operators' configuration. It is not changed after it has been decoded.
type Config struct {
	Version int64
	// Revision is the store's revision of the entry. Newer entries have higher revisions.
	Revision int64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits

	routes   map[Queue]*Route
	services map[Pool]*Service
	accounts map[string]Account
	tenants  map[Account]*Tenant
	hosts    map[string][]*Route
}

// Index builds the look-up tables. It is called once, by the decoder.
func (c *Config) Index() *Config {
	c.routes = make(map[Queue]*Route, len(c.Routes))
	c.hosts = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routes[r.Name] = r
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	c.services = make(map[Pool]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.accounts = make(map[string]Account)
	c.tenants = make(map[Account]*Tenant, len(c.Tenants))
	for i := range c.Tenants {
		t := &c.Tenants[i]
		c.tenants[t.Name] = t
		for _, k := range t.Keys {
			c.accounts[k] = t.Name
		}
	}
	return c
}

// Route returns the queue of a name, or nil.
func (c *Config) Route(q Queue) *Route { return c.routes[q] }

// Service returns the pool of a name, or nil.
func (c *Config) Service(p Pool) *Service { return c.services[p] }

// Tenant returns the client account of a name, or nil.
func (c *Config) Tenant(a Account) *Tenant { return c.tenants[a] }

// AccountOf returns the client account that holds a key; ok is false for an unknown key.
func (c *Config) AccountOf(key string) (a Account, ok bool) {
	a, ok = c.accounts[key]
	return a, ok
}

// Match returns the route of a host whose prefix is the longest one that the path begins with, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.hosts[host] {
		if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
