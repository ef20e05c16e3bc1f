package silverlatch.server.provider;

import java.util.concurrent.CompletableFuture;
import silverlatch.state.Value;

/** A call to the cloud provider, without the caller, which is added when the call is made. */
public sealed interface ProviderCall {
    /** Makes the call with the caller's name and fencing token. */
    CompletableFuture<CloudProvider.Outcome> make(CloudProvider provider, CloudProvider.Caller caller);

    /** Returns a description of the call for the event log, which contains no keys. */
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

    /** Sets how many workers of a pool a zone should have. */
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
