package silverlatch.dispatch;

/** A tenant's place in the weighted fair order. One duty owns it. */
final class TenantShare {
    double virtualFinishTime;

    TenantShare(final double virtualTime) {
        this.virtualFinishTime = virtualTime;
    }
}
