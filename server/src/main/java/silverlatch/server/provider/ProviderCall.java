package silverlatch.server.provider;

import java.util.concurrent.CompletableFuture;
import silverlatch.state.Value;

/** A call of the provider that is due; which process makes it is not said yet. */
public sealed interface ProviderCall {
    /** Makes the call under the caller's name and fencing token. */
    CompletableFuture<CloudProvider.Outcome> make(CloudProvider provider, CloudProvider.Caller caller);

    /** What is called for, for the log of events; no keys are in it. */
    String summary();

    /** Reports the usage of a closed window. */
    record ReportUsage(Value.UsageWindow window) implements ProviderCall {
        @Override
        public CompletableFuture<CloudProvider.Outcome> make(
                final CloudProvider provider, final CloudProvider.Caller caller) {
            return provider.reportUsage(caller, window);
        }

        @Override
        public String summary() {
            return "usage of window " + window.number();
        }
    }

    /** Sets how many workers of a pool a zone is to have. */
    record SetWorkerCount(CloudProvider.WorkerCount target) implements ProviderCall {
        @Override
        public CompletableFuture<CloudProvider.Outcome> make(
                final CloudProvider provider, final CloudProvider.Caller caller) {
            return provider.setWorkerCount(caller, target);
        }

        @Override
        public String summary() {
            return target.count() + " workers of " + target.pool() + " in " + target.zone();
        }
    }
}
