package silverlatch.dispatch;

import silverlatch.safeguard.Safeguards;

/** Settings of a {@link Dispatcher}; immutable. Times are in microseconds. */
public final class DispatcherSettings {
    /** What holds when nothing is set. */
    public static final DispatcherSettings DEFAULT = builder().build();

    private final int maxOpenRequests;
    private final int maxQueuedRequests;
    private final long permitLifetime;
    private final long maxReportAge;
    private final long maxConfirmationAge;
    private final long claimTimeout;
    private final long endedRetention;
    private final int maxResponseBytes;
    private final double retryRatio;
    private final long ejectionTime;
    private final long readerAbsenceTimeout;
    private final long permitRetention;
    private final long startTimeout;
    private final Safeguards safeguards;

    private DispatcherSettings(final Builder builder) {
        this.maxOpenRequests = builder.maxOpenRequests;
        this.maxQueuedRequests = builder.maxQueuedRequests;
        this.permitLifetime = builder.permitLifetime;
        this.maxReportAge = builder.maxReportAge;
        this.maxConfirmationAge = builder.maxConfirmationAge;
        this.claimTimeout = builder.claimTimeout;
        this.endedRetention = builder.endedRetention;
        this.maxResponseBytes = builder.maxResponseBytes;
        this.retryRatio = builder.retryRatio;
        this.ejectionTime = builder.ejectionTime;
        this.readerAbsenceTimeout = builder.readerAbsenceTimeout;
        this.permitRetention = builder.permitRetention;
        this.startTimeout = builder.startTimeout;
        this.safeguards = builder.safeguards;
    }

    /** A builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** The same settings with other safeguards; for tests that let some down. */
    public DispatcherSettings withSafeguards(final Safeguards enabledSafeguards) {
        return toBuilder().safeguards(enabledSafeguards).build();
    }

    private Builder toBuilder() {
        return builder()
                .maxOpenRequests(maxOpenRequests)
                .maxQueuedRequests(maxQueuedRequests)
                .permitLifetime(permitLifetime)
                .maxReportAge(maxReportAge)
                .maxConfirmationAge(maxConfirmationAge)
                .claimTimeout(claimTimeout)
                .endedRetention(endedRetention)
                .maxResponseBytes(maxResponseBytes)
                .retryRatio(retryRatio)
                .ejectionTime(ejectionTime)
                .readerAbsenceTimeout(readerAbsenceTimeout)
                .permitRetention(permitRetention)
                .startTimeout(startTimeout)
                .safeguards(safeguards);
    }

    /** How many requests may be open or kept at once. */
    public int maxOpenRequests() {
        return maxOpenRequests;
    }

    /** How many requests may wait at once. */
    public int maxQueuedRequests() {
        return maxQueuedRequests;
    }

    /** How long a permit can be used, in microseconds. */
    public long permitLifetime() {
        return permitLifetime;
    }

    /** The age beyond which a report of a worker does not count, in microseconds. */
    public long maxReportAge() {
        return maxReportAge;
    }

    /** How long a snapshot may be acted on after it was confirmed to be the newest, in microseconds. */
    public long maxConfirmationAge() {
        return maxConfirmationAge;
    }

    /** How long the claim of an idempotency key may take, in microseconds. */
    public long claimTimeout() {
        return claimTimeout;
    }

    /** How long an ended request can still be read, in microseconds. */
    public long endedRetention() {
        return endedRetention;
    }

    /** The longest response that is buffered, in bytes of text. */
    public int maxResponseBytes() {
        return maxResponseBytes;
    }

    /** The part of the requests that may be retried. */
    public double retryRatio() {
        return retryRatio;
    }

    /** How long a worker that failed an attempt is ejected, in microseconds. */
    public long ejectionTime() {
        return ejectionTime;
    }

    /** How long a request runs on while its client is gone, in microseconds. */
    public long readerAbsenceTimeout() {
        return readerAbsenceTimeout;
    }

    /** For how long after its expiry a permit is told from an unknown one, in microseconds. */
    public long permitRetention() {
        return permitRetention;
    }

    /** How long a worker may take to give a sign of a start, in microseconds. */
    public long startTimeout() {
        return startTimeout;
    }

    /** The safeguards that are in force. */
    public Safeguards safeguards() {
        return safeguards;
    }

    /** Collects settings; each has a default. */
    public static final class Builder {
        private static final long SECOND = 1_000_000L;
        private int maxOpenRequests = 4_096;
        private int maxQueuedRequests = 2_048;
        private long permitLifetime = 2 * SECOND;
        private long maxReportAge = 2 * SECOND;
        private long maxConfirmationAge = 2 * SECOND;
        private long claimTimeout = SECOND;
        private long endedRetention = 20 * SECOND;
        private int maxResponseBytes = 4 << 20;
        private double retryRatio = 0.1;
        private long ejectionTime = SECOND;
        private long readerAbsenceTimeout = 5 * SECOND;
        private long permitRetention = 30 * SECOND;
        private long startTimeout = SECOND;
        private Safeguards safeguards = Safeguards.ALL;

        private Builder() {}

        /** How many requests may be open or kept at once. */
        public Builder maxOpenRequests(final int value) {
            maxOpenRequests = value;
            return this;
        }

        /** How many requests may wait at once. */
        public Builder maxQueuedRequests(final int value) {
            maxQueuedRequests = value;
            return this;
        }

        /** How long a permit can be used, in microseconds. */
        public Builder permitLifetime(final long value) {
            permitLifetime = value;
            return this;
        }

        /** The age beyond which a report of a worker does not count, in microseconds. */
        public Builder maxReportAge(final long value) {
            maxReportAge = value;
            return this;
        }

        /** How long a snapshot may be acted on after it was confirmed to be the newest, in microseconds. */
        public Builder maxConfirmationAge(final long value) {
            maxConfirmationAge = value;
            return this;
        }

        /** How long the claim of an idempotency key may take, in microseconds. */
        public Builder claimTimeout(final long value) {
            claimTimeout = value;
            return this;
        }

        /** How long an ended request can still be read, in microseconds. */
        public Builder endedRetention(final long value) {
            endedRetention = value;
            return this;
        }

        /** The longest response that is buffered, in bytes of text. */
        public Builder maxResponseBytes(final int value) {
            maxResponseBytes = value;
            return this;
        }

        /** The part of the requests that may be retried. */
        public Builder retryRatio(final double value) {
            retryRatio = value;
            return this;
        }

        /** How long a worker that failed an attempt is ejected, in microseconds. */
        public Builder ejectionTime(final long value) {
            ejectionTime = value;
            return this;
        }

        /** How long a request runs on while its client is gone, in microseconds. */
        public Builder readerAbsenceTimeout(final long value) {
            readerAbsenceTimeout = value;
            return this;
        }

        /** For how long after its expiry a permit is told from an unknown one, in microseconds. */
        public Builder permitRetention(final long value) {
            permitRetention = value;
            return this;
        }

        /** How long a worker may take to give a sign of a start, in microseconds. */
        public Builder startTimeout(final long value) {
            startTimeout = value;
            return this;
        }

        /** The safeguards that are in force. */
        public Builder safeguards(final Safeguards value) {
            safeguards = value;
            return this;
        }

        /** The settings as collected so far. */
        public DispatcherSettings build() {
            return new DispatcherSettings(this);
        }
    }
}
