package workload

import "time"

// Route is the configuration of a queue.
type Route struct {
	Name Queue
	// Host and Prefix select the route of a call by its host and the prefix of its path.
	Host, Prefix string
	Pool         Pool
	// Priority orders queues; 0 is the highest priority and may preempt others.
	Priority int
	// MaxAttempts is the number of failed runs of a task, or of a gang as a whole, after which the job fails; 0 means no
	// limit.
	MaxAttempts int
	// Stretch times a job's critical path (its longest chain of dependent work) plus Latency is the objective for the
	// job's completion time.
	Stretch float64
	// Latency is the constant part of that objective.
	Latency time.Duration
	// Timeout bounds a call.
	Timeout time.Duration
	// Public permits calls without an API key.
	Public bool
	// Advised restricts starts to the executors that the advisory service names.
	Advised bool
	// TicketValid is how long a ticket of the advisory service is valid.
	TicketValid time.Duration
	// AdviceDecideTime is the time of a query of the advisory service, AdviceExecutorTime what each executor adds to it.
	AdviceDecideTime, AdviceExecutorTime time.Duration
}

// PoolConfig is the configuration of a pool of executors.
type PoolConfig struct {
	Name Pool
	// EnforcesCapacity is set if the executors refuse tasks that do not fit into their free capacity.
	EnforcesCapacity bool
	// Spare marks a pool of machines that are switched off.
	Spare bool
}

// AccountConfig is the configuration of a client account.
type AccountConfig struct {
	Name Account
	// Keys authenticate the calls of the account.
	Keys []string
	// Guaranteed is the number of accelerators that are guaranteed to the account's jobs of priority 0.
	Guaranteed int
	// Weight is the account's share when all capacity is used, and the jobs a second that it may submit; 0 means that it
	// has none.
	Weight float64
	// Limit bounds the resources of all running tasks of the account; a zero field means no limit.
	Limit Resources
}

// Limits bound the calls of clients.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader, MaxBody         int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operators' configuration. It is immutable after it has been decoded.
type Config struct {
	Version int64
	// Revision is the store revision of the entry. Newer entries have higher revisions.
	Revision int64
	Routes   []Route
	Pools    []PoolConfig
	Accounts []AccountConfig
	Limits   Limits

	routesByName   map[Queue]*Route
	poolsByName    map[Pool]*PoolConfig
	accountsByKey  map[string]Account
	accountsByName map[Account]*AccountConfig
	routesByHost   map[string][]*Route
}

// Index builds the lookup tables. The decoder calls it once.
func (c *Config) Index() *Config {
	c.routesByName = make(map[Queue]*Route, len(c.Routes))
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByName[r.Name] = r
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	c.poolsByName = make(map[Pool]*PoolConfig, len(c.Pools))
	for i := range c.Pools {
		c.poolsByName[c.Pools[i].Name] = &c.Pools[i]
	}
	c.accountsByKey = make(map[string]Account)
	c.accountsByName = make(map[Account]*AccountConfig, len(c.Accounts))
	for i := range c.Accounts {
		account := &c.Accounts[i]
		c.accountsByName[account.Name] = account
		for _, k := range account.Keys {
			c.accountsByKey[k] = account.Name
		}
	}
	return c
}

// Route returns the queue with the given name, or nil.
func (c *Config) Route(q Queue) *Route { return c.routesByName[q] }

// Pool returns the pool with the given name, or nil.
func (c *Config) Pool(p Pool) *PoolConfig { return c.poolsByName[p] }

// Account returns the client account with the given name, or nil.
func (c *Config) Account(a Account) *AccountConfig { return c.accountsByName[a] }

// AccountOf returns the client account of an API key; ok is false for an unknown key.
func (c *Config) AccountOf(key string) (a Account, ok bool) {
	a, ok = c.accountsByKey[key]
	return a, ok
}

// Match returns the route of the host with the longest prefix that matches the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
