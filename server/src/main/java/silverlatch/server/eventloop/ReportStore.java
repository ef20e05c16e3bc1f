package silverlatch.server.eventloop;

import java.util.List;
import silverlatch.gossip.WorkerReport;

/** Durable storage for the worker reports of one node. */
public interface ReportStore {
    /** Returns the reports that were saved last, before a restart of the process; empty if there are none. */
    List<WorkerReport> read();

    /**
     * Starts replacing the saved reports, without blocking, and runs a task, on another thread, once the new ones are durable. Returns
     * false, without saving, if the previous call hasn't begun to write yet.
     */
    boolean save(List<WorkerReport> reports, Runnable onSaved);
}
