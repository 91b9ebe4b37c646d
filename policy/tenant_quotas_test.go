package policy

import (
	"testing"
	"time"
)

func TestTenantQuotasAreDividedAndRefilled(t *testing.T) {
	quotas := newTenantQuotas([]Tenant{{RequestsPerSecond: 10}}, 10)
	now := time.Duration(0)
	if quotas.exceeded(now, 0) {
		t.Fatal("a first request is beyond the quota")
	}
	quotas.charge(0)
	quotas.charge(0)
	if !quotas.exceeded(now, 0) {
		t.Error("a third request within a second is within a quota of one a second")
	}
	if quotas.exceeded(now+2*time.Second, 0) {
		t.Error("the quota is not refilled")
	}
	if !quotas.exceeded(now, NoTenant) || !quotas.exceeded(now, 1) {
		t.Error("a request of an unknown tenant is within a quota")
	}
	var none tenantQuotas
	if none.charge(0); none.exceeded(now, 7) {
		t.Error("a request is beyond a quota although the settings have no tenants")
	}
}
