package choice

// Customers: the records that are kept, and which are forgotten.

import "time"

// findOrAddCustomer finds the record of a findOrAddCustomer under the plan that the request names. A request that names another
// plan gets a record of its own: it must not clear what is known of the findOrAddCustomer, his ceiling above all.
func (g *Gateway) findOrAddCustomer(in Request) *customer {
	key := customerKey{in.Customer, in.Plan}
	c := g.customers[key]
	if c == nil {
		p := &g.cfg.Plans[in.Plan]
		g.evictForNewCustomer()
		// The part of the ceiling is empty at the gateway's start, for the life before may have drawn it all,
		// and fills from then on, whether the customer is known or not.
		c = &customer{key: key, plan: p, admitProbability: 1 / initialUseRatio, meanAdmitProbability: 1, tokens: p.Burst, tokensAt: g.now,
			ceilingAt: g.ceilingFillStart, local: localDemand{updatedAt: g.now},
			meanUse: initialUseRatio * p.Rate * g.cfg.MeterPeriod.Seconds()}
		if p.Rate <= 0 {
			c.meanUse = initialUseRatio
		}
		c.newestSlot = g.slotNumber(g.now)
		for i := range c.slots {
			// Before it was known, only pressure refused.
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

// evictIdleCustomers forgets idle customers, which would be met as new: a ceiling's part must be full again. It looks at a
// few that have been idle for longest.
func (g *Gateway) evictIdleCustomers() {
	span := time.Duration(customerIdlePeriods * float64(max(g.cfg.MeterPeriod, 100*time.Millisecond)))
	for i := range g.idleOrder {
		for range min(maxEvictionScan, g.idleOrder[i].Len()) {
			c := g.idleOrder[i].Front().Value.(*customer)
			idle := g.now - c.lastRequest
			if idle <= span || idle.Seconds()*c.plan.CeilingRate < c.plan.CeilingBurst {
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

// evictCustomer forgets a customer.
func (g *Gateway) evictCustomer(c *customer) {
	g.idleOrder[c.key.plan].Remove(c.idleElement)
	delete(g.customers, c.key)
}

// evictForNewCustomer forgets the longest idle customers where as many are known as may be: whoever makes names up must
// not fill the memory. If the part of a ceiling of one was not full, all whom the gateway meets from now on
// begin with an empty one, for he may be among them.
func (g *Gateway) evictForNewCustomer() {
	most := g.cfg.MaxCustomers
	for tries := 0; most > 0 && len(g.customers) >= most && tries < maxEvictionScan; tries++ {
		if c := g.longestIdleCustomer(); c != nil {
			if c.plan.CeilingRate > 0 && !g.ceilingAllows(c, c.plan.CeilingBurst/c.setSize) {
				g.ceilingFillStart = g.now
			}
			g.evictCustomer(c)
		}
	}
}

// longestIdleCustomer returns the one of the longest idle customers of each plan that has nothing out, or nil.
func (g *Gateway) longestIdleCustomer() (longest *customer) {
	for i := range g.idleOrder {
		if front := g.idleOrder[i].Front(); front != nil {
			if c := front.Value.(*customer); c.inFlight > 0 {
				g.idleOrder[i].MoveToBack(front) // the next one may do
			} else if longest == nil || c.lastRequest < longest.lastRequest {
				longest = c
			}
		}
	}
	return longest
}
