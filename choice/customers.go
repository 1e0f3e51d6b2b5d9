package choice

// The records of customers: creation, lookup and eviction.

import "time"

// findOrAddCustomer returns the customer's record under the plan that the request names. A request that
// names another plan gets a separate record: it must not reset the existing one, above all not the ceiling.
func (g *Gateway) findOrAddCustomer(in Request) *customer {
	key := customerKey{in.Customer, in.Plan}
	c := g.customers[key]
	if c == nil {
		p := &g.cfg.Plans[in.Plan]
		g.evictForNewCustomer()
		// The ceiling's bucket is empty at the gateway's start, since a previous process may have drawn
		// everything. It fills from then on, whether or not there is a record of the customer.
		c = &customer{key: key, plan: p, admitProbability: 1 / initialUseRatio, meanAdmitProbability: 1,
			tokens: p.Burst, tokensAt: g.now,
			ceilingAt: g.ceilingFillStart, local: localDemand{updatedAt: g.now},
			meanUse: initialUseRatio * p.Rate * g.cfg.MeterPeriod.Seconds()}
		if p.Rate <= 0 {
			c.meanUse = initialUseRatio
		}
		c.newestSlot = g.slotNumber(g.now)
		for i := range c.slots {
			// Before the record existed, only the concurrency limit rejected requests of this customer.
			c.slots[i] = slotUsage{probabilitySum: float32(g.limitPassRate), probabilityCount: 1}
		}
		g.customers[key] = c
		c.idleElement = g.idleOrder[in.Plan].PushBack(c)
	}
	g.idleOrder[in.Plan].MoveToBack(c.idleElement)
	c.setSize = float64(min(max(in.SetSize, 1), g.cfg.Gateways))
	c.lastRequest = g.now
	return c
}

// evictIdleCustomers evicts idle customers whose ceiling's bucket is full again, so that a new record would
// equal theirs. It examines only a few of the longest idle ones in each pass.
func (g *Gateway) evictIdleCustomers() {
	minIdle := time.Duration(customerIdlePeriods * float64(max(g.cfg.MeterPeriod, 100*time.Millisecond)))
	for i := range g.idleOrder {
		for range min(maxEvictionScan, g.idleOrder[i].Len()) {
			c := g.idleOrder[i].Front().Value.(*customer)
			idle := g.now - c.lastRequest
			if idle <= minIdle || idle.Seconds()*c.plan.CeilingRate < c.plan.CeilingBurst {
				break
			}
			if c.inFlight > 0 {
				g.idleOrder[i].MoveToBack(c.idleElement)
				continue
			}
			g.evictCustomer(c)
		}
	}
}

// evictCustomer drops the record of a customer.
func (g *Gateway) evictCustomer(c *customer) {
	g.idleOrder[c.key.plan].Remove(c.idleElement)
	delete(g.customers, c.key)
}

// evictForNewCustomer evicts the longest idle customers if Config.MaxCustomers is reached, so that requests
// with invented customer ids cannot fill the memory. If the ceiling's bucket of an evicted customer was not
// full, every record created from then on starts with an empty bucket, since that customer may come back.
func (g *Gateway) evictForNewCustomer() {
	limit := g.cfg.MaxCustomers
	for tries := 0; limit > 0 && len(g.customers) >= limit && tries < maxEvictionScan; tries++ {
		if c := g.longestIdleCustomer(); c != nil {
			if c.plan.CeilingRate > 0 && !g.ceilingAllows(c, c.plan.CeilingBurst/c.setSize) {
				g.ceilingFillStart = g.now
			}
			g.evictCustomer(c)
		}
	}
}

// longestIdleCustomer compares the longest idle customer of each plan and returns the longest idle of them
// that has no attempt in flight, or nil.
func (g *Gateway) longestIdleCustomer() (longest *customer) {
	for i := range g.idleOrder {
		if front := g.idleOrder[i].Front(); front != nil {
			if c := front.Value.(*customer); c.inFlight > 0 {
				g.idleOrder[i].MoveToBack(front) // the next call examines another customer
			} else if longest == nil || c.lastRequest < longest.lastRequest {
				longest = c
			}
		}
	}
	return longest
}
