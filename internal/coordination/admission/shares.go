package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// accountDemand is the demand of one account in requests within a window.
type accountDemand struct {
	account     uint32
	rate, usual float64
}

// demand is the demand of all accounts at one time. It is immutable.
type demand struct {
	at       time.Time
	accounts []accountDemand // sorted by account
	total    float64
	// ownPart is the part of the fleet's requests that this instance receives.
	ownPart float64
	members int
	// learned is for how long the usual demand has been learned.
	learned time.Duration
}

// refreshed returns the demand of the fleet, at most refreshTime old.
func (a *Accounts) refreshed() *demand {
	now := a.opts.Now()
	if d := a.recent(now); d != nil {
		return d
	}
	return a.refresh(a.own(now), now)
}

// recent returns the demand of the fleet if it was computed recently, or nil.
func (a *Accounts) recent(now time.Time) *demand {
	if d := a.demand.Load(); d != nil && now.Sub(d.at) < refreshTime {
		return d
	}
	return nil
}

// refresh computes the demand of the fleet with this instance's counts within the window.
func (a *Accounts) refresh(own map[uint32]uint32, now time.Time) *demand {
	share := min(a.opts.Share(), 1)
	if share <= 0 {
		// It is not known yet.
		share = 1
	}
	large, leads := a.opts.Large(), a.opts.Leads()
	a.mu.Lock()
	defer a.mu.Unlock()
	rates, members := a.rates(own, share, large, leads, now)
	a.updateUsual(rates, now)
	d := &demand{at: now, members: members, learned: min(now.Sub(a.started)+a.learnedBefore, usualTime)}
	ownTotal := 0.0
	for key, usual := range a.usual {
		d.accounts = append(d.accounts, accountDemand{account: key, rate: rates[key], usual: usual})
		d.total += rates[key]
		ownTotal += float64(own[key])
	}
	slices.SortFunc(d.accounts, func(x, y accountDemand) int { return cmp.Compare(x.account, y.account) })
	d.ownPart = min(ownTotal/max(d.total, 1), 1)
	a.demand.Store(d)
	return d
}

// rates returns the requests of all instances within a window by account, and the number of
// instances in the sum. In a large fleet a member uses the sum of the leader with most members.
func (a *Accounts) rates(own map[uint32]uint32, share float64, large, leads bool, now time.Time) (map[uint32]float64, int) {
	rates, members := make(map[uint32]float64, len(own)), 1
	for key, count := range own {
		rates[key] = float64(count)
	}
	var best *peerCounts
	for _, p := range a.peers {
		if now.Sub(p.receivedAt) >= reportLifetime {
			continue
		}
		if large && !leads {
			if p.report.Members > 1 && (best == nil || p.report.Members > best.report.Members) {
				best = p
			}
			continue
		}
		members++
		for key, count := range p.report.Own {
			rates[key] += float64(count)
		}
	}
	if best != nil {
		clear(rates)
		for key, v := range best.report.Fleet {
			rates[key] = float64(v[0])
		}
		return rates, best.report.Members
	}
	for key := range rates {
		rates[key] /= share
	}
	return rates, members
}

// updateUsual moves the usual demand towards the present one. Until it has been learned for
// usualTime, it is the mean since then.
func (a *Accounts) updateUsual(rates map[uint32]float64, now time.Time) {
	elapsed := now.Sub(a.usualAt)
	if a.usualAt.IsZero() {
		elapsed = refreshTime
	}
	a.usualAt = now
	constant := min(max(now.Sub(a.started)+a.learnedBefore, window), usualTime)
	weight := 1 - math.Exp(-min(float64(elapsed), float64(time.Second))/float64(constant))
	for key := range rates {
		if _, known := a.usual[key]; !known {
			a.usual[key] = 0
		}
	}
	for key, usual := range a.usual {
		usual += weight * (rates[key] - usual)
		if usual < 0.01 && rates[key] == 0 {
			delete(a.usual, key)
			continue
		}
		a.usual[key] = usual
	}
}

// ServedShare returns the share of the demand that the capacity of a service suffices for, by
// the requests at its servers and those that wait at all instances, per slot.
func ServedShare(taken float64) float64 {
	if taken <= targetUse {
		return 1
	}
	return targetUse / taken
}

// Excess returns the probability, 0 to 1, with which a request of the account exceeds the
// account's share, where the capacity suffices for the given share of the demand. Shares are
// weighted max-min fair: no account gets more than it demands, and the others share the rest in
// proportion to their usual demand. An account that has grown no more than most is within its share,
// since a load that rises for all accounts alike is ordered by rank alone.
func (a *Accounts) Excess(account string, servedShare float64) float64 {
	if servedShare >= 1 || !a.opts.Enabled() {
		return 0
	}
	d := a.refreshed()
	at, known := slices.BinarySearchFunc(d.accounts, accountKey(account), func(x accountDemand, key uint32) int { return cmp.Compare(x.account, key) })
	if !known || d.accounts[at].rate <= 0 {
		return 0
	}
	level := max(d.level(servedShare*d.total), d.medianGrowth(accountKey(account)))
	share := level * d.accounts[at].weight()
	share += chanceFactor * math.Sqrt(share)
	return min(max(1-share/d.accounts[at].rate, 0), 1-leastServed*servedShare)
}

// weight is the weight of an account: its usual demand, at least one request, so that an account
// without a history gets a share.
func (d *accountDemand) weight() float64 { return max(d.usual, 1) }

// level returns the number by which the weights are multiplied so that the smaller of share and
// demand adds up to the capacity.
func (d *demand) level(capacity float64) float64 {
	sorted := slices.Clone(d.accounts)
	slices.SortFunc(sorted, func(x, y accountDemand) int { return cmp.Compare(x.rate/x.weight(), y.rate/y.weight()) })
	weights := 0.0
	for i := range sorted {
		weights += sorted[i].weight()
	}
	left := capacity
	for i := range sorted {
		account := &sorted[i]
		if level := left / weights; account.rate > level*account.weight() {
			return level
		}
		left -= account.rate
		weights -= account.weight()
	}
	return math.Inf(1)
}

// medianGrowth returns the demand relative to the usual one that accounts with half of the usual
// demand do not exceed. The given account is left out, since one with half of the usual demand
// would never exceed its share; without others there is no share that it could take.
func (d *demand) medianGrowth(without uint32) float64 {
	sorted := slices.DeleteFunc(slices.Clone(d.accounts), func(x accountDemand) bool { return x.account == without })
	if len(sorted) == 0 {
		return math.Inf(1)
	}
	slices.SortFunc(sorted, func(x, y accountDemand) int { return cmp.Compare(x.rate/x.weight(), y.rate/y.weight()) })
	left := 0.0
	for i := range sorted {
		left += sorted[i].weight()
	}
	left /= 2
	for i := range sorted {
		if left -= sorted[i].weight(); left <= 0 {
			return sorted[i].rate / sorted[i].weight()
		}
	}
	return 0
}

// OwnPart returns the part of the fleet's requests that this instance receives, 0 to 1.
func (a *Accounts) OwnPart() float64 { return a.refreshed().ownPart }
