package silverlatch.server.provider;

import java.util.concurrent.CompletableFuture;
import silverlatch.state.Value;

/** A call of the provider that is due; which process makes it is not said yet. */
public sealed interface ProviderCall {
    /** Makes the call under the caller's name and fencing token. */
    CompletableFuture<CloudProvider.Outcome> make(CloudProvider provider, CloudProvider.Caller caller);

    /** Reports the usage of a closed window. */
    record ReportUsage(Value.UsageWindow window) implements ProviderCall {
        @Override
        public CompletableFuture<CloudProvider.Outcome> make(
                final CloudProvider provider, final CloudProvider.Caller caller) {
            return provider.reportUsage(caller, window);
        }
    }

    /** Sets how many workers of a pool a zone is to have. */
    record SetWorkerCount(CloudProvider.WorkerCount target) implements ProviderCall {
        @Override
        public CompletableFuture<CloudProvider.Outcome> make(
                final CloudProvider provider, final CloudProvider.Caller caller) {
            return provider.setWorkerCount(caller, target);
        }
    }
}
