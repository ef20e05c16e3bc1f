package silverlatch.server.controller;

import java.util.function.Consumer;
import silverlatch.gossip.Worker;
import silverlatch.replication.ChainClient;
import silverlatch.server.eventloop.Caller;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/**
 * The operations that a controller offers to operators and workers, independent of the API through which they are called. Callable from
 * any thread. Callbacks run on the controller's event loop; the result of an operation that waits for the chain is delivered at most
 * 900 ms after the call. If the event loop's queue is full, the callback gets a rejection immediately, on the caller's thread.
 */
public interface ControlService {
    /**
     * Replaces the routing configuration. Putting the document of a configuration that was applied again is acknowledged again. A
     * rejection depends on acknowledged configurations only. If the command isn't committed in time, its outcome is reported as unknown.
     */
    void putConfiguration(Command.PutFullConfiguration command, Consumer<CommandResult> onResult);

    /**
     * Reads the document of the newest acknowledged configuration. The result has no entry if there is no configuration yet, and is
     * marked as unanswered if the chain's tail doesn't answer in time.
     */
    void readConfiguration(Consumer<ChainClient.ReadResult> onResult);

    /**
     * Starts or ends the evacuation of a zone; the latest command for a zone wins. If the command isn't committed in time, or its caller
     * leaves, its outcome is reported as unknown: it takes effect while the caller waits, or later only if no other command for the zone
     * took effect since. A call that may have waited during a pause of this process counts from the begin of the pause, and one that is
     * the first on its connection from when that was accepted.
     */
    void setEvacuation(String zone, boolean isEvacuated, Caller caller, Consumer<CommandResult> onResult);

    /**
     * Accepts a worker's report on itself. The result is true once the report is accepted and is being gossiped to the other nodes. A
     * report that the worker is draining is accepted only once a majority of the controllers holds it; if that isn't confirmed in time,
     * the result is false.
     */
    void announce(Worker worker, Consumer<Boolean> onResult);

    /**
     * Marks a worker as gone. The result is true once a majority of the controllers holds this; false if that isn't confirmed in time or
     * this controller doesn't know the worker.
     */
    void markWorkerGone(String workerId, Consumer<Boolean> onResult);
}
