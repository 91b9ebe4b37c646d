package policy

import (
	"math"
	"time"

	"crankhold/internal/stats"
)

// tenantQuotas holds this router's part of each tenant's quota, as token buckets of requests.
//
// Invariant: a rejected request is not charged to the quota, because the client's retries are the same
// request.
type tenantQuotas struct {
	buckets []stats.TokenBucket // by tenant; empty if the settings have no tenants
}

// newTenantQuotas divides the quotas of the settings equally among the routers.
func newTenantQuotas(tenants []Tenant, routers int) tenantQuotas {
	var quotas tenantQuotas
	for _, tenant := range tenants {
		rate := stats.Clamp(tenant.RequestsPerSecond, 0, 1e9) / float64(routers)
		quotas.buckets = append(quotas.buckets, stats.TokenBucket{
			Tokens:   rate + 1,
			Capacity: rate + 3*math.Sqrt(rate) + 1, // a second's requests plus random variation
			Rate:     rate,
		})
	}
	return quotas
}

// exceeded reports whether a request of a tenant is beyond its quota now.
func (q *tenantQuotas) exceeded(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(q.buckets) {
		return len(q.buckets) > 0
	}
	bucket := &q.buckets[tenant]
	bucket.Refill(now)
	return bucket.Tokens < 1
}

// charge takes a request that was within its tenant's quota from the bucket.
func (q *tenantQuotas) charge(tenant int) {
	if len(q.buckets) > 0 {
		q.buckets[tenant].Tokens--
	}
}
