package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.DispatcherSettings;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/**
 * The gateway's part of a {@link SimulatedNode}: the production dispatcher, the open calls of clients, and the attempts that can
 * be cancelled. They end with the process; only the newest cluster snapshot is retained, for the observer.
 */
final class SimulatedGateway {
    private final World world;
    private final SimulatedNode host;
    private final Map<Long, Consumer<DispatchEffect>> openCalls = new HashMap<>();
    private final Map<Long, Consumer<String>> openAttempts = new HashMap<>();
    private Optional<Dispatcher> dispatcher = Optional.empty();
    private Optional<ClusterSnapshot> clusterSnapshot = Optional.empty();

    SimulatedGateway(final World world, final SimulatedNode host) {
        this.world = world;
        this.host = host;
    }

    /** Creates the dispatcher for a new process. */
    void start(final Node node) {
        clusterSnapshot = Optional.of(node.clusterSnapshot());
        dispatcher = Optional.of(new Dispatcher(
                DispatcherSettings.DEFAULT.withSafeguards(world.safeguards()),
                new PermitSigner("simulated-cluster-key"),
                node.clusterSnapshot(),
                () -> node.localStamp(host.now()),
                world.scheduler().random().split()));
    }

    /** Breaks every connection to clients and workers, because the process has ended. */
    void kill() {
        dispatcher = Optional.empty();
        final List<Consumer<DispatchEffect>> brokenCalls = List.copyOf(openCalls.values());
        openCalls.clear();
        brokenCalls.forEach(call -> call.accept(new DispatchEffect.Rejected(0, 0, "", "the connection broke", 0, "")));
        final List<Consumer<String>> brokenRuns = List.copyOf(openAttempts.values());
        openAttempts.clear();
        brokenRuns.forEach(run -> run.accept("cut"));
    }

    /** Stops accepting new requests. */
    void stopAccepting() {
        dispatcher.ifPresent(Dispatcher::stopAccepting);
    }

    /** Ends the requests that are still in flight. */
    void shutdown() {
        dispatcher.ifPresent(running -> running.shutdown(host.now()));
    }

    /** Returns the snapshot that the dispatcher uses or, if the process ended, used last. */
    Optional<ClusterSnapshot> clusterSnapshot() {
        return clusterSnapshot;
    }

    /** Returns the request rates in the table that this gateway uses, in the form of {@link Operators#cellValue}. */
    Set<String> rateValues() {
        final Set<String> values = new HashSet<>();
        clusterSnapshot.ifPresent(snapshot -> snapshot.policy().values().forEach(value -> {
            if (value instanceof Value.Row row) {
                values.add(Operators.cellValue(row.requestsPerSecond()));
            }
        }));
        return values;
    }

    /** Opens a client's call; {@code onEffect} receives the dispatcher's effects for its token. */
    void openCall(final long token, final ObjLongConsumer<Dispatcher> call, final Consumer<DispatchEffect> onEffect) {
        openCalls.put(token, onEffect);
        dispatcher.ifPresent(running -> call.accept(running, token));
    }

    /** Closes a client's call, as if the client had disconnected. */
    void disconnectClient(final long callToken) {
        openCalls.remove(callToken);
        dispatcher.ifPresent(running -> running.onReaderDisconnected(callToken, host.now()));
    }

    void withDispatcher(final Consumer<Dispatcher> task) {
        dispatcher.ifPresent(task);
    }

    /** Advances the dispatcher's clock and returns whether it is ready; returns {@code readyBefore} if the process has ended. */
    boolean tick(final boolean readyBefore) {
        return dispatcher
                .map(running -> {
                    running.tick(host.now());
                    return running.unreadyReason(host.now()).isEmpty();
                })
                .orElse(readyBefore);
    }

    /** Passes the node's newest cluster snapshot to the dispatcher. */
    void updateSnapshot(final Node node) {
        dispatcher.ifPresent(running -> {
            final ClusterSnapshot snapshot = node.clusterSnapshot();
            clusterSnapshot = Optional.of(snapshot);
            running.update(snapshot, host.now());
        });
    }

    /** Performs the dispatcher's pending effects, and returns whether there were any. */
    boolean performEffects() {
        final List<DispatchEffect> effects =
                dispatcher.map(Dispatcher::drainEffects).orElse(List.of());
        effects.forEach(this::perform);
        return !effects.isEmpty();
    }

    private void perform(final DispatchEffect effect) {
        if (!host.isAlive()) {
            return;
        }
        if (!(effect instanceof DispatchEffect.Placed)) {
            reportInjectionPoint(effect);
        }
        if (host.isFrozen()) {
            host.execute(() -> perform(effect));
            return;
        }
        world.listener().action(world.scheduler().now(), host.name(), effect);
        switch (effect) {
            case DispatchEffect.Placed placed -> {
                reply(placed.callId(), effect, true);
                reportInjectionPoint(effect);
            }
            case DispatchEffect.Redirected redirected -> reply(redirected.callId(), effect, true);
            case DispatchEffect.Rejected rejected -> reply(rejected.callId(), effect, true);
            case DispatchEffect.StreamWrite write -> reply(write.callId(), effect, write.endOfStream());
            case DispatchEffect.StartAttempt attempt -> start(attempt);
            case DispatchEffect.CancelAttempt cancelled ->
                Optional.ofNullable(openAttempts.remove(cancelled.operationId()))
                        .ifPresent(run -> run.accept("cut"));
            case DispatchEffect.SubmitCommand submitted -> submit(submitted);
            case DispatchEffect.PlacementDecided decided -> world.observer().count("judged");
            case DispatchEffect.RequestEnded request -> world.observer().count("ended-" + request.state());
            case DispatchEffect.Log log -> world.log(host, new Effect.Log(log.event(), log.text()));
        }
    }

    private void start(final DispatchEffect.StartAttempt attempt) {
        if (host.now() > attempt.sendDeadline()) {
            dispatcher.ifPresent(running ->
                    running.onAttemptFailed(attempt.operationId(), false, "it was not sent in time", host.now()));
        } else {
            world.attempts().start(host, attempt, openAttempts);
        }
    }

    private void submit(final DispatchEffect.SubmitCommand submitted) {
        host.submit(
                submitted.command(),
                submitted.timeout(),
                result -> dispatcher.ifPresent(
                        running -> running.onClaimResult(submitted.operationId(), (CommandResult) result, host.now())));
    }

    private void reply(final long callToken, final DispatchEffect effect, final boolean last) {
        Optional.ofNullable(last ? openCalls.remove(callToken) : openCalls.get(callToken))
                .ifPresent(call -> call.accept(effect));
    }

    private void reportInjectionPoint(final DispatchEffect effect) {
        switch (effect) {
            case DispatchEffect.Placed placed -> world.disturbances().onPointReached(InjectionPoint.PLACED, host);
            case DispatchEffect.SubmitCommand submitted -> {
                if (submitted.command() instanceof Command.Claim) {
                    world.disturbances().onPointReached(InjectionPoint.CLAIMING, host);
                }
            }
            case DispatchEffect.StartAttempt attempt ->
                world.disturbances().onPointReached(InjectionPoint.SENDING, host);
            default -> {}
        }
    }
}
