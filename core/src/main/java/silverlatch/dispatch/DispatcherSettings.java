package silverlatch.dispatch;

import silverlatch.safeguard.Safeguards;

/** The settings of a {@link Dispatcher}. Immutable; times are in microseconds. */
public final class DispatcherSettings {
    /** The settings with all defaults. */
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

    /** Returns a builder that is initialized with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns these settings with other safeguards, for tests that disable some. */
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

    /** Returns the maximum number of open and retained ended requests. */
    public int maxOpenRequests() {
        return maxOpenRequests;
    }

    /** Returns the maximum number of queued requests. */
    public int maxQueuedRequests() {
        return maxQueuedRequests;
    }

    /** Returns how long a permit is valid, in microseconds. */
    public long permitLifetime() {
        return permitLifetime;
    }

    /** Returns the maximum age of a worker's report, in microseconds; older ones make the worker unavailable. */
    public long maxReportAge() {
        return maxReportAge;
    }

    /** Returns how long a snapshot may be acted on after it was confirmed to be the newest, in microseconds. */
    public long maxConfirmationAge() {
        return maxConfirmationAge;
    }

    /** Returns the timeout of the claim of an idempotency key, in microseconds. */
    public long claimTimeout() {
        return claimTimeout;
    }

    /** Returns how long the response of an ended request can still be read, in microseconds. */
    public long endedRetention() {
        return endedRetention;
    }

    /** Returns the maximum size of a buffered response, in bytes of text. */
    public int maxResponseBytes() {
        return maxResponseBytes;
    }

    /** Returns the fraction of the requests that may be retried. */
    public double retryRatio() {
        return retryRatio;
    }

    /** Returns how long a worker is ejected after an attempt failed there, in microseconds. */
    public long ejectionTime() {
        return ejectionTime;
    }

    /** Returns how long a request keeps running after its client has disconnected, in microseconds. */
    public long readerAbsenceTimeout() {
        return readerAbsenceTimeout;
    }

    /** Returns how long after its expiry a permit is still recognized as expired, in microseconds; an older one may have been used. */
    public long permitRetention() {
        return permitRetention;
    }

    /** Returns how long a worker may take to indicate that it has started a request, in microseconds. */
    public long startTimeout() {
        return startTimeout;
    }

    /** Returns the enabled safeguards. */
    public Safeguards safeguards() {
        return safeguards;
    }

    /** Builds settings; each one has a default. */
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

        /** Sets the maximum number of open and retained ended requests. */
        public Builder maxOpenRequests(final int value) {
            maxOpenRequests = value;
            return this;
        }

        /** Sets the maximum number of queued requests. */
        public Builder maxQueuedRequests(final int value) {
            maxQueuedRequests = value;
            return this;
        }

        /** Sets how long a permit is valid, in microseconds. */
        public Builder permitLifetime(final long value) {
            permitLifetime = value;
            return this;
        }

        /** Sets the maximum age of a worker's report, in microseconds; older ones make the worker unavailable. */
        public Builder maxReportAge(final long value) {
            maxReportAge = value;
            return this;
        }

        /** Sets how long a snapshot may be acted on after it was confirmed to be the newest, in microseconds. */
        public Builder maxConfirmationAge(final long value) {
            maxConfirmationAge = value;
            return this;
        }

        /** Sets the timeout of the claim of an idempotency key, in microseconds. */
        public Builder claimTimeout(final long value) {
            claimTimeout = value;
            return this;
        }

        /** Sets how long the response of an ended request can still be read, in microseconds. */
        public Builder endedRetention(final long value) {
            endedRetention = value;
            return this;
        }

        /** Sets the maximum size of a buffered response, in bytes of text. */
        public Builder maxResponseBytes(final int value) {
            maxResponseBytes = value;
            return this;
        }

        /** Sets the fraction of the requests that may be retried. */
        public Builder retryRatio(final double value) {
            retryRatio = value;
            return this;
        }

        /** Sets how long a worker is ejected after an attempt failed there, in microseconds. */
        public Builder ejectionTime(final long value) {
            ejectionTime = value;
            return this;
        }

        /** Sets how long a request keeps running after its client has disconnected, in microseconds. */
        public Builder readerAbsenceTimeout(final long value) {
            readerAbsenceTimeout = value;
            return this;
        }

        /** Sets how long after its expiry a permit is still recognized as expired, in microseconds; an older one may have been used. */
        public Builder permitRetention(final long value) {
            permitRetention = value;
            return this;
        }

        /** Sets how long a worker may take to indicate that it has started a request, in microseconds. */
        public Builder startTimeout(final long value) {
            startTimeout = value;
            return this;
        }

        /** Sets the enabled safeguards. */
        public Builder safeguards(final Safeguards value) {
            safeguards = value;
            return this;
        }

        /** Returns the settings as set so far. */
        public DispatcherSettings build() {
            return new DispatcherSettings(this);
        }
    }
}
