package silverlatch.server.controller;

import com.cronutils.model.Cron;
import com.cronutils.model.CronType;
import com.cronutils.model.definition.CronDefinitionBuilder;
import com.cronutils.model.time.ExecutionTime;
import com.cronutils.parser.CronParser;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * Validates schedules and finds those that are due. The id of a scheduled command is derived from the schedule's name and the minute at
 * which it is due: if the next owner of the singleton role submits the command again, it has the same id and takes effect only once.
 *
 * <p>{@link #faults} may be called from any thread, the other methods on the event loop only.
 */
public final class CronScheduler {
    /** How long after its minute a schedule stays due. */
    private static final long DUE_WINDOW_SECONDS = 90;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long ANY_REVISION = -1;
    private static final String KEY_PREFIX = "k/";

    /** A schedule that is never due after this time is invalid. */
    private static final ZonedDateTime VALIDATION_START = ZonedDateTime.of(2026, 1, 1, 0, 0, 0, 0, ZoneOffset.UTC);

    private final CronParser parser = new CronParser(CronDefinitionBuilder.instanceDefinitionFor(CronType.UNIX));

    /** The ids of submitted commands, with the minute at which each was due as Unix seconds. */
    private final Map<String, Long> submitted = new LinkedHashMap<>();

    /** Returns the faults of a schedule, each with its path. A schedule that is never due is a fault, too. */
    public List<String> faults(final Value.Schedule schedule) {
        final List<String> faults = new ArrayList<>(TableRules.nameFaults("name", schedule.name()));
        addCronFaults(schedule.cron(), faults);
        if (schedule.cells().isEmpty() == schedule.zone().isEmpty()) {
            faults.add("$: either cells or a zone is needed");
        }
        for (int i = 0; i < schedule.cells().size(); i++) {
            final Command.Cell cell = schedule.cells().get(i);
            if (TableRules.withCell(TableRules.defaultRow("*", "any"), cell.field(), cell.value())
                    instanceof TableRules.CellChange.Invalid invalid) {
                faults.add("$.cells[" + i + "]: " + invalid.fault());
            }
        }
        return faults;
    }

    /**
     * Returns the commands of the schedules that are due and weren't returned before, with the fencing token, and marks them as submitted.
     *
     * @param wallNanos the wall clock in nanoseconds since the Unix epoch
     */
    public List<Command> dueCommands(final StateMachine state, final long wallNanos, final long fencingToken) {
        final long nowSeconds = wallNanos / NANOS_PER_SECOND;
        final List<Command> commands = state.entriesWithPrefix(KEY_PREFIX).values().stream()
                .filter(entry -> !entry.isDeleted())
                .map(entry -> (Value.Schedule) entry.value().get(0))
                .flatMap(schedule -> dueCommand(schedule, nowSeconds, fencingToken).stream())
                .toList();
        submitted.values().removeIf(dueAt -> nowSeconds - dueAt > 2 * DUE_WINDOW_SECONDS);
        return commands;
    }

    /** Marks a command whose outcome is unknown as not submitted, so that it is due again while its schedule stays due. */
    public void allowResubmission(final String id) {
        submitted.remove(id);
    }

    private void addCronFaults(final String text, final List<String> faults) {
        final Optional<Cron> cron = parse(text);
        if (cron.isEmpty()) {
            faults.add("$.cron: five fields are needed: minute, hour, day, month, weekday; not '" + text + "'");
        } else if (ExecutionTime.forCron(cron.get())
                .nextExecution(VALIDATION_START)
                .isEmpty()) {
            faults.add("$.cron: '" + text + "' never comes");
        }
    }

    private Optional<Command> dueCommand(
            final Value.Schedule schedule, final long nowSeconds, final long fencingToken) {
        final Optional<Long> dueAt = parse(schedule.cron())
                .flatMap(cron -> ExecutionTime.forCron(cron).lastExecution(toUtc(nowSeconds + 1)))
                .map(ZonedDateTime::toEpochSecond)
                .filter(second -> nowSeconds - second <= DUE_WINDOW_SECONDS);
        if (dueAt.isEmpty()) {
            return Optional.empty();
        }
        final String id = "cal-" + schedule.name() + "-" + dueAt.get();
        if (submitted.containsKey(id)) {
            return Optional.empty();
        }
        submitted.put(id, dueAt.get());
        return Optional.of(new Command.Scheduled(id, fencingToken, createCommand(id, schedule)));
    }

    private static Command createCommand(final String id, final Value.Schedule schedule) {
        return schedule.zone().isEmpty()
                ? new Command.PatchTable(id, schedule.cells(), ANY_REVISION)
                : new Command.SetEvacuation(id, schedule.zone(), schedule.evacuate(), ANY_REVISION);
    }

    private Optional<Cron> parse(final String text) {
        try {
            return Optional.of(parser.parse(text));
        } catch (final IllegalArgumentException failure) {
            return Optional.empty();
        }
    }

    private static ZonedDateTime toUtc(final long unixSeconds) {
        return Instant.ofEpochSecond(unixSeconds).atZone(ZoneOffset.UTC);
    }
}
