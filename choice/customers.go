package choice

// Customers: the records that are kept, and which are forgotten.

import "time"

// customer finds the record of a customer under the plan that the request names. A request that names another
// plan gets a record of its own: it must not clear what is known of the customer, his ceiling above all.
func (g *Gateway) customer(in Request) *customer {
	key := account{in.Customer, in.Plan}
	c := g.customers[key]
	if c == nil {
		p := &g.cfg.Plans[in.Plan]
		g.makeRoom()
		// The part of the ceiling is empty at the gateway's start, for the life before may have drawn it all,
		// and fills from then on, whether the customer is known or not.
		c = &customer{account: key, plan: p, chance: 1 / startUse, applied: 1, store: p.Burst, storeAt: g.now,
			ceilAt: g.forgot, count: ownCount{at: g.now},
			mean: startUse * p.Rate * g.cfg.MeterPeriod.Seconds()}
		if p.Rate <= 0 {
			c.mean = startUse
		}
		c.head = g.slotOf(g.now)
		for i := range c.slots {
			// Before it was known, only pressure refused.
			c.slots[i] = slotUse{chance: float32(g.clear), met: 1}
		}
		g.customers[key] = c
		c.place = g.idle[in.Plan].PushBack(c)
	}
	g.idle[in.Plan].MoveToBack(c.place)
	c.spread = float64(min(max(in.SetSize, 1), g.cfg.Gateways))
	c.last = g.now
	return c
}

// sweep forgets idle customers, which would be met as new: a ceiling's part must be full again. It looks at a
// few that have been idle for longest.
func (g *Gateway) sweep() {
	span := time.Duration(idlePeriods * float64(max(g.cfg.MeterPeriod, 100*time.Millisecond)))
	for i := range g.idle {
		for range min(sweepMost, g.idle[i].Len()) {
			c := g.idle[i].Front().Value.(*customer)
			idle := g.now - c.last
			if idle <= span || idle.Seconds()*c.plan.CeilingRate < c.plan.CeilingBurst {
				break
			}
			if c.open > 0 {
				g.idle[i].MoveToBack(c.place)
				continue
			}
			g.drop(c)
		}
	}
}

// drop forgets a customer.
func (g *Gateway) drop(c *customer) {
	g.idle[c.account.plan].Remove(c.place)
	delete(g.customers, c.account)
}

// makeRoom forgets the longest idle customers where as many are known as may be: whoever makes names up must
// not fill the memory. If the part of a ceiling of one was not full, all whom the gateway meets from now on
// begin with an empty one, for he may be among them.
func (g *Gateway) makeRoom() {
	most := g.cfg.MaxCustomers
	for tries := 0; most > 0 && len(g.customers) >= most && tries < sweepMost; tries++ {
		if c := g.longestIdle(); c != nil {
			if c.plan.CeilingRate > 0 && !g.ceilingHolds(c, c.plan.CeilingBurst/c.spread) {
				g.forgot = g.now
			}
			g.drop(c)
		}
	}
}

// longestIdle returns the one of the longest idle customers of each plan that has nothing out, or nil.
func (g *Gateway) longestIdle() (longest *customer) {
	for i := range g.idle {
		if front := g.idle[i].Front(); front != nil {
			if c := front.Value.(*customer); c.open > 0 {
				g.idle[i].MoveToBack(front) // the next one may do
			} else if longest == nil || c.last < longest.last {
				longest = c
			}
		}
	}
	return longest
}
