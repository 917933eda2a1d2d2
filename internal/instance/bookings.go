package instance

import (
	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/coordination/claims"
)

// addBookings adds the parts that run non-idempotent calls and write bills.
func (a *assembly) addBookings() {
	a.bookings = claims.New(a.log, a.settings.Instance, a.incarnation)
	a.bills = billing.New(a.log, a.settings.Instance, a.incarnation)
	a.followers = append(a.followers, a.bookings.Run)
	a.writers = append(a.writers, a.bills.Run)
}
