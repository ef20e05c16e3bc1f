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
 * When calendars are due. A change bears the calendar's name and minute as its id, so that a holder of the duty that
 * comes after another asks for the same change again and it takes effect once.
 */
public final class CronScheduler {
    private static final long WINDOW_SECONDS = 90;
    private final CronParser parser = new CronParser(CronDefinitionBuilder.instanceDefinitionFor(CronType.UNIX));
    private final Map<String, Long> submitted = new LinkedHashMap<>();

    /** What is wrong with a calendar; one whose time never comes is wrong. */
    public List<String> faults(final Value.Schedule schedule) {
        final List<String> faults = new ArrayList<>(TableRules.nameFaults("name", schedule.name()));
        final Optional<Cron> cron = parse(schedule.cron());
        if (cron.isEmpty()) {
            faults.add(
                    "$.cron: five fields are needed: minute, hour, day, month, weekday; not '" + schedule.cron() + "'");
        } else if (ExecutionTime.forCron(cron.get())
                .nextExecution(ZonedDateTime.of(2026, 1, 1, 0, 0, 0, 0, ZoneOffset.UTC))
                .isEmpty()) {
            faults.add("$.cron: '" + schedule.cron() + "' never comes");
        }
        if (schedule.cells().isEmpty() == schedule.zone().isEmpty()) {
            faults.add("$: either cells or a zone is needed");
        }
        for (int i = 0; i < schedule.cells().size(); i++) {
            final Command.Cell cell = schedule.cells().get(i);
            if (TableRules.withCell(TableRules.defaultRow("*", "any"), cell.field(), cell.value())
                    instanceof TableRules.CellChange.Invalid bad) {
                faults.add("$.cells[" + i + "]: " + bad.fault());
            }
        }
        return faults;
    }

    /** The changes that are due now and were not asked for yet. */
    public List<Command> dueCommands(final StateMachine state, final long wallNanos, final long fencingToken) {
        final long nowSeconds = wallNanos / 1_000_000_000L;
        final List<Command> commands = new ArrayList<>();
        state.entriesWithPrefix("k/").values().stream()
                .filter(e -> !e.isDeleted())
                .forEach(e -> {
                    final Value.Schedule schedule = (Value.Schedule) e.value().get(0);
                    parse(schedule.cron())
                            .flatMap(c -> ExecutionTime.forCron(c).lastExecution(toUtc(nowSeconds + 1)))
                            .map(ZonedDateTime::toEpochSecond)
                            .filter(t -> nowSeconds - t <= WINDOW_SECONDS)
                            .ifPresent(t -> {
                                final String id = "cal-" + schedule.name() + "-" + t;
                                if (!submitted.containsKey(id)) {
                                    submitted.put(id, t);
                                    final Command inner = schedule.zone().isEmpty()
                                            ? new Command.PatchTable(id, schedule.cells(), -1)
                                            : new Command.SetEvacuation(id, schedule.zone(), schedule.evacuate(), -1);
                                    commands.add(new Command.Scheduled(id, fencingToken, inner));
                                }
                            });
                });
        submitted.values().removeIf(t -> nowSeconds - t > 2 * WINDOW_SECONDS);
        return commands;
    }

    /** A change was not decided; it is asked for again while its time lasts. */
    public void forget(final String id) {
        submitted.remove(id);
    }

    private Optional<Cron> parse(final String text) {
        try {
            return Optional.of(parser.parse(text));
        } catch (final IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ZonedDateTime toUtc(final long seconds) {
        return Instant.ofEpochSecond(seconds).atZone(ZoneOffset.UTC);
    }
}
