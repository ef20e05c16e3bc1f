package silverlatch.server.controller;

import java.util.function.Consumer;
import silverlatch.gossip.Worker;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/**
 * What a controller does for operators and workers, whatever door they came by. Replies come on the controller's own duty, those
 * that wait for the chain at the latest 900 ms after the call; where the duty can take no more, a rejection comes at once
 * on the caller's own thread.
 */
public interface ControlService {
    /**
     * Lays down a charter; what is not decided in time is told as unknown. One that was taken is acknowledged again
     * however late it is sent again, and a rejection rests on acknowledged changes only.
     */
    void putConfiguration(Command.PutConfiguration command, Consumer<CommandResult> onResult);

    /** Asks for the newest acknowledged charter's paper; no entry where there is none, not ok where none can tell it now. */
    void readConfiguration(Consumer<ChainClient.ReadResult> onResult);

    /**
     * Empties a zone, or gives it back; what is not decided in time is told as unknown. It takes effect while the call
     * lasts, or on top of no other order for the zone.
     */
    void setEvacuation(String zone, boolean isEvacuated, Consumer<CommandResult> onResult);

    /** Takes a worker's word on itself; true when it is taken and on its way to the others. */
    void announce(Worker worker, Consumer<Boolean> onResult);

    /** A worker said that it is gone; true when its leaving is on its way to the others, false when it isn't known here. */
    void workerLeft(String workerId, Consumer<Boolean> onResult);
}
