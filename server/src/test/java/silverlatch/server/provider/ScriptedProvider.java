package silverlatch.server.provider;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import silverlatch.state.Value;

/** A cloud provider that records its calls; the test completes them, or leaves them unanswered. */
final class ScriptedProvider implements CloudProvider {
    private final List<Call> calls = new ArrayList<>();

    /** A call and the future of its outcome. */
    record Call(String holder, long token, String description, CompletableFuture<Outcome> outcome) {}

    List<Call> calls() {
        return calls;
    }

    Call last() {
        return calls.get(calls.size() - 1);
    }

    /** Returns the descriptions of all calls, in order. */
    List<String> descriptions() {
        return calls.stream().map(Call::description).toList();
    }

    @Override
    public CompletableFuture<Outcome> reportUsage(final Caller caller, final Value.UsageWindow window) {
        return addCall(caller, "usage " + window.number());
    }

    @Override
    public CompletableFuture<Outcome> setWorkerCount(final Caller caller, final WorkerCount target) {
        return addCall(caller, "workers " + target.count());
    }

    private CompletableFuture<Outcome> addCall(final Caller caller, final String what) {
        final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        calls.add(new Call(caller.holderName(), caller.fencingToken(), what, outcome));
        return outcome;
    }
}
