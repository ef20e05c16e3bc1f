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
public final class Schedules {
    private static final long WINDOW = 90;
    private final CronParser parser = new CronParser(CronDefinitionBuilder.instanceDefinitionFor(CronType.UNIX));
    private final Map<String, Long> asked = new LinkedHashMap<>();

    /** What is wrong with a calendar; one whose time never comes is wrong. */
    public List<String> faults(final Value.Schedule k) {
        final List<String> list = new ArrayList<>(TableRules.nameFaults("name", k.name()));
        final Optional<Cron> cron = parse(k.cron());
        if (cron.isEmpty()) {
            list.add("$.cron: five fields are needed: minute, hour, day, month, weekday; not '" + k.cron() + "'");
        } else if (ExecutionTime.forCron(cron.get())
                .nextExecution(ZonedDateTime.of(2026, 1, 1, 0, 0, 0, 0, ZoneOffset.UTC))
                .isEmpty()) {
            list.add("$.cron: '" + k.cron() + "' never comes");
        }
        if (k.cells().isEmpty() == k.zone().isEmpty()) {
            list.add("$: either cells or a zone is needed");
        }
        for (int i = 0; i < k.cells().size(); i++) {
            final Command.Cell c = k.cells().get(i);
            if (TableRules.withCell(TableRules.defaultRow("*", "any"), c.field(), c.value())
                    instanceof TableRules.CellChange.Invalid bad) {
                list.add("$.cells[" + i + "]: " + bad.fault());
            }
        }
        return list;
    }

    /** The changes that are due now and were not asked for yet. */
    public List<Command> due(final StateMachine books, final long nanos, final long fence) {
        final long now = nanos / 1_000_000_000L;
        final List<Command> list = new ArrayList<>();
        books.entriesWithPrefix("k/").values().stream()
                .filter(e -> !e.isDeleted())
                .forEach(e -> {
                    final Value.Schedule k = (Value.Schedule) e.value().get(0);
                    parse(k.cron())
                            .flatMap(c -> ExecutionTime.forCron(c).lastExecution(at(now + 1)))
                            .map(ZonedDateTime::toEpochSecond)
                            .filter(t -> now - t <= WINDOW)
                            .ifPresent(t -> {
                                final String id = "cal-" + k.name() + "-" + t;
                                if (!asked.containsKey(id)) {
                                    asked.put(id, t);
                                    final Command inner = k.zone().isEmpty()
                                            ? new Command.PatchTable(id, k.cells(), -1)
                                            : new Command.SetEvacuation(id, k.zone(), k.evacuate(), -1);
                                    list.add(new Command.Scheduled(id, fence, inner));
                                }
                            });
                });
        asked.values().removeIf(t -> now - t > 2 * WINDOW);
        return list;
    }

    /** A change was not decided; it is asked for again while its time lasts. */
    public void forget(final String id) {
        asked.remove(id);
    }

    private Optional<Cron> parse(final String text) {
        try {
            return Optional.of(parser.parse(text));
        } catch (final IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static ZonedDateTime at(final long seconds) {
        return Instant.ofEpochSecond(seconds).atZone(ZoneOffset.UTC);
    }
}
