package silverlatch.server.controller;

import silverlatch.clock.PhysicalClock;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.replication.ChainReplica;
import silverlatch.server.eventloop.Caller;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/** Submits the commands of due schedules while this controller owns the singleton role. Used on the event loop only. */
final class ScheduleRunner {
    private static final long COMMAND_TIMEOUT_MICROS = 4_000_000L;
    private static final long CHECK_INTERVAL_MICROS = 1_000_000L;
    private static final long NANOS_PER_MICRO = 1_000;
    private final CronScheduler scheduler;
    private final EventLoopHandle eventLoop;
    private long lastCheckAt;

    ScheduleRunner(final CronScheduler scheduler, final EventLoopHandle eventLoop) {
        this.scheduler = scheduler;
        this.eventLoop = eventLoop;
    }

    /** Submits the commands of due schedules, at most once a second. Called after each tick. */
    void afterTick(final Node node, final long now) {
        if (now - lastCheckAt < CHECK_INTERVAL_MICROS) {
            return;
        }
        lastCheckAt = now;
        node.chainReplica().ifPresent(replica -> submitDue(replica, wallNanos(node.physicalClock(), now), now));
    }

    private void submitDue(final ChainReplica replica, final long wallNanos, final long now) {
        replica.fencingToken(now)
                .ifPresent(fencingToken -> scheduler
                        .dueCommands(replica.stateMachine(), wallNanos, fencingToken)
                        .forEach(this::submit));
    }

    private void submit(final Command command) {
        EventLog.write(Event.CALENDAR, command.id());
        eventLoop.submit(command, COMMAND_TIMEOUT_MICROS, Caller.WAITS, result -> {
            if (result instanceof CommandResult.Unknown) {
                scheduler.allowResubmission(command.id());
            }
        });
    }

    private static long wallNanos(final PhysicalClock clock, final long now) {
        return clock.unixNanos() + (now - clock.monotonicMicros()) * NANOS_PER_MICRO;
    }
}
