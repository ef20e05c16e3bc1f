package silverlatch.dispatch;

/** The virtual finish time of a tenant, by which {@link FairQueues} orders tenants. */
final class TenantShare {
    private double virtualFinishTime;

    /** Creates the share of a tenant that becomes active at the given virtual time. */
    TenantShare(final double virtualTime) {
        this.virtualFinishTime = virtualTime;
    }

    /** Returns the virtual time at which the tenant's most recently served request finishes. */
    double virtualFinishTime() {
        return virtualFinishTime;
    }

    /**
     * Charges the tenant for a request.
     *
     * @param start        the virtual time at which the request starts
     * @param weightedCost the request's cost divided by the tenant's quota share
     */
    void charge(final double start, final double weightedCost) {
        virtualFinishTime = start + weightedCost;
    }
}
