package silverlatch.server.controller;

import java.util.ArrayList;
import java.util.List;
import silverlatch.json.JsonDocument;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;
import silverlatch.state.Value;

/** The schedules of table changes and evacuations ({@code /v1/schedules}). */
final class ScheduleResource {
    private static final String KEY_PREFIX = "k/";
    private static final int MAX_CRON_LENGTH = 128;
    private static final int MAX_ZONE_LENGTH = 64;
    private final StateApi state;
    private final CronScheduler scheduler;

    ScheduleResource(final StateApi state, final CronScheduler scheduler) {
        this.state = state;
        this.scheduler = scheduler;
    }

    /** Replies with all schedules. */
    void list(final HttpExchange exchange) {
        state.list(exchange, KEY_PREFIX, "calendars");
    }

    /** Creates or replaces a schedule. */
    void put(final HttpExchange exchange, final String name) {
        state.parseBody(exchange).ifPresent(body -> {
            final Value.Schedule schedule = read(body, name);
            final List<String> faults = new ArrayList<>(body.finish());
            faults.addAll(scheduler.faults(schedule));
            if (faults.isEmpty()) {
                state.write(
                        exchange, (id, expectedRevision) -> new Command.PutSchedule(id, schedule, expectedRevision));
            } else {
                ApiReplies.rejectFaults(exchange, faults);
            }
        });
    }

    /** Removes a schedule. */
    void remove(final HttpExchange exchange, final String name) {
        state.write(exchange, (id, expectedRevision) -> new Command.RemoveSchedule(id, name, expectedRevision));
    }

    private static Value.Schedule read(final JsonDocument body, final String name) {
        final List<Command.Cell> cells = TableJson.readCells(body);
        return new Value.Schedule(
                name,
                body.string("cron", MAX_CRON_LENGTH),
                cells,
                body.string("zone", MAX_ZONE_LENGTH, ""),
                body.flag("empty", false));
    }
}
