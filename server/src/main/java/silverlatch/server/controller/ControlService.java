package silverlatch.server.controller;

import java.util.function.Consumer;
import silverlatch.gossip.Worker;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/**
 * What a controller does for operators and workers, whatever API they came by. Callable from any thread. Results come on the
 * controller's event loop, those that wait for the chain at most 900 ms after the call; where the event loop has no room, a
 * rejection comes at once on the caller's own thread.
 */
public interface ControlService {
    /**
     * Puts a routing configuration. One that was applied is acknowledged again whenever the same document is put again, and a
     * rejection rests on acknowledged configurations only. What isn't committed in time is reported as unknown.
     */
    void putConfiguration(Command.PutFullConfiguration command, Consumer<CommandResult> onResult);

    /**
     * Reads the document of the newest acknowledged configuration: without an entry where there is none, unanswered where no
     * replica can tell.
     */
    void readConfiguration(Consumer<ChainClient.ReadResult> onResult);

    /**
     * Starts or ends the evacuation of a zone; the latest order wins. What isn't committed in time is reported as unknown: it
     * takes effect while the call lasts, or only where no other order for the zone came after it.
     */
    void setEvacuation(String zone, boolean isEvacuated, Consumer<CommandResult> onResult);

    /**
     * Takes a worker's report on itself; true once it is accepted and on its way to the other nodes. That it drains is accepted only once
     * a majority of the controllers holds it, and not where that takes too long.
     */
    void announce(Worker worker, Consumer<Boolean> onResult);

    /** Takes note that a worker is gone; true once a majority of the controllers holds that, false where it isn't known here. */
    void markWorkerGone(String workerId, Consumer<Boolean> onResult);
}
