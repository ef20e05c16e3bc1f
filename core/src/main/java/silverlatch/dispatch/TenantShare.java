package silverlatch.dispatch;

/** A tenant's place in the weighted fair order of {@link FairQueues}. */
final class TenantShare {
    private double virtualFinishTime;

    /** A tenant that comes into the order at a virtual time. */
    TenantShare(final double virtualTime) {
        this.virtualFinishTime = virtualTime;
    }

    /** The virtual time at which the newest request of the tenant that was served is paid for. */
    double virtualFinishTime() {
        return virtualFinishTime;
    }

    /** A request is served that starts at a virtual time and costs so much over the tenant's quota share. */
    void charge(final double start, final double weightedCost) {
        virtualFinishTime = start + weightedCost;
    }
}
