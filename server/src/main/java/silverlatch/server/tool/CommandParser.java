package silverlatch.server.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Parses the words of a command line into a command. */
final class CommandParser {
    private static final String TABLE = "/v1/table";
    private static final String TENANTS = "/v1/tenants/";

    // The deprecated paths, since controllers of the previous version don't serve the current ones.
    private static final String CONFIGURATION = "/v1/charter";
    private static final String ROUTES = "/v1/rules";
    private static final String SCHEDULES = "/v1/calendars";
    private static final String DEFAULT_CLAIM_STATE = "running";

    /** The words that name a command only together with the next word. */
    private static final Set<String> GROUPS =
            Set.of("table", "tenant", "configuration", "schedule", "charter", "calendar");

    /** The current names of commands by their deprecated names, which are accepted for one version. */
    private static final Map<String, String> CURRENT_NAMES = Map.of(
            "charter get", "configuration get",
            "charter put", "configuration put",
            "charter rules", "configuration routes",
            "calendar list", "schedule list",
            "calendar put", "schedule put",
            "calendar drop", "schedule delete",
            "tenant drop", "tenant delete",
            "drain", "evacuate",
            "undrain", "restore");

    private final String name;
    private final List<String> arguments;

    private CommandParser(final String name, final List<String> arguments) {
        this.name = name;
        this.arguments = List.copyOf(arguments);
    }

    /**
     * Returns the command that the words describe, or empty if the command or its arguments are not valid.
     *
     * @throws IOException if a file that is given as an argument can't be read
     */
    static Optional<ToolCommand> parse(final List<String> words) throws IOException {
        if (words.isEmpty()) {
            return Optional.empty();
        }
        final int nameLength = GROUPS.contains(words.get(0)) ? Math.min(2, words.size()) : 1;
        final String name = String.join(" ", words.subList(0, nameLength));
        final String currentName = CURRENT_NAMES.getOrDefault(name, name);
        return new CommandParser(currentName, words.subList(nameLength, words.size())).parse();
    }

    /** Selects the command by its current name and its number of arguments. */
    private Optional<ToolCommand> parse() throws IOException {
        return switch (name + "/" + arguments.size()) {
            case "table get/0" -> request(ApiRequest.get(TABLE));
            case "table put/1" -> request(ApiRequest.put(TABLE, file(0)));
            case "table diff/1" -> Optional.of(new TableDiffCommand(file(0)));
            case "table set/4" -> request(ApiRequest.patch(TABLE, cellUpdate()));
            case "tenant list/0" -> request(ApiRequest.get("/v1/tenants"));
            case "tenant delete/1" -> request(ApiRequest.delete(TENANTS + arguments.get(0)));
            case "configuration get/0" -> Optional.of(new RequestCommand(ApiRequest.get(CONFIGURATION), true));
            case "configuration routes/0" -> request(ApiRequest.get(ROUTES));
            case "configuration put/1" -> request(ApiRequest.put(CONFIGURATION, file(0)));
            case "configuration put/2" -> putConfigurationExpecting(arguments.get(1));
            case "evacuate/1" -> setEvacuation(true);
            case "restore/1" -> setEvacuation(false);
            case "zones/0" -> request(ApiRequest.get("/v1/zones"));
            case "schedule list/0" -> request(ApiRequest.get(SCHEDULES));
            case "schedule put/2" -> request(ApiRequest.put(schedulePath(), file(1)));
            case "schedule delete/1" -> request(ApiRequest.delete(schedulePath()));
            case "change/1" -> request(ApiRequest.get("/v1/changes/" + arguments.get(0)));
            case "claims/0" -> Optional.of(new ClaimsCommand(DEFAULT_CLAIM_STATE));
            case "claims/1" -> Optional.of(new ClaimsCommand(arguments.get(0)));
            case "status/0" -> request(ApiRequest.get("/status"));
            case "explain/1" -> request(ApiRequest.get("/v1/explain/" + arguments.get(0)));
            default -> name.equals("tenant put") ? putTenant() : Optional.empty();
        };
    }

    private String schedulePath() {
        return SCHEDULES + "/" + arguments.get(0);
    }

    private Optional<ToolCommand> putTenant() {
        if (arguments.size() < 3 || !arguments.get(2).matches("\\d+(\\.\\d+)?")) {
            return Optional.empty();
        }
        return request(ApiRequest.put(
                TENANTS + arguments.get(0),
                Map.of(
                        "key",
                        arguments.get(1),
                        "share",
                        Double.parseDouble(arguments.get(2)),
                        "homes",
                        arguments.subList(3, arguments.size()))));
    }

    private Optional<ToolCommand> putConfigurationExpecting(final String revision) throws IOException {
        return revision.matches("\\d{1,18}")
                ? request(ApiRequest.put(CONFIGURATION, file(0)).withExpectedRevision(revision))
                : Optional.empty();
    }

    private Optional<ToolCommand> setEvacuation(final boolean isEvacuated) {
        return request(ApiRequest.put("/v1/zones/" + arguments.get(0), Map.of("empty", isEvacuated)));
    }

    private Map<String, Object> cellUpdate() {
        return Map.of(
                "cells",
                List.of(Map.of(
                        "tenant",
                        arguments.get(0),
                        "kind",
                        arguments.get(1),
                        "field",
                        arguments.get(2),
                        "value",
                        arguments.get(3))));
    }

    private byte[] file(final int argument) throws IOException {
        return Files.readAllBytes(Path.of(arguments.get(argument)));
    }

    private static Optional<ToolCommand> request(final ApiRequest request) {
        return Optional.of(new RequestCommand(request));
    }
}
