package silverlatch.server.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against commands of the operators' tool that send the wrong request: a wrong path, body or expected revision, a deprecated
 * command name that no longer works, or a request for a command line that is not valid.
 */
final class CommandParserTest {
    @TempDir
    private Path directory;

    private static ApiRequest parseRequest(final String... words) throws IOException {
        return ((RequestCommand) CommandParser.parse(List.of(words)).orElseThrow()).request();
    }

    private static String line(final String... words) throws IOException {
        final ApiRequest request = parseRequest(words);
        return request.method() + " " + request.path()
                + request.body()
                        .map(json -> " " + new String(json, StandardCharsets.UTF_8))
                        .orElse("")
                + request.expectedRevision().map(revision -> " at " + revision).orElse("");
    }

    private String file() throws IOException {
        return Files.writeString(directory.resolve("file.json"), "{\"a\":1}").toString();
    }

    @Test
    void readCommandsSendARequestWithoutABody() throws IOException {
        assertThat(line("table", "get"), is("GET /v1/table"));
        assertThat(line("tenant", "list"), is("GET /v1/tenants"));
        assertThat(line("charter", "get"), is("GET /v1/charter"));
        assertThat(line("charter", "rules"), is("GET /v1/rules"));
        assertThat(line("calendar", "list"), is("GET /v1/calendars"));
        assertThat(line("zones"), is("GET /v1/zones"));
        assertThat(line("change", "id-1"), is("GET /v1/changes/id-1"));
        assertThat(line("status"), is("GET /status"));
        assertThat(line("explain", "t-1"), is("GET /v1/explain/t-1"));
    }

    @Test
    void writeCommandsSendTheFileOrTheArgumentsAsBody() throws IOException {
        assertThat(line("table", "put", file()), is("PUT /v1/table {\"a\":1}"));
        assertThat(line("charter", "put", file()), is("PUT /v1/charter {\"a\":1}"));
        assertThat(line("charter", "put", file(), "7"), is("PUT /v1/charter {\"a\":1} at 7"));
        assertThat(line("calendar", "put", "night", file()), is("PUT /v1/calendars/night {\"a\":1}"));
        assertThat(line("calendar", "drop", "night"), is("DELETE /v1/calendars/night"));
        assertThat(line("tenant", "drop", "ferry"), is("DELETE /v1/tenants/ferry"));
        assertThat(line("drain", "syros"), is("PUT /v1/zones/syros {\"empty\":true}"));
        assertThat(line("undrain", "syros"), is("PUT /v1/zones/syros {\"empty\":false}"));
        final String tenant = line("tenant", "put", "ferry", "secret", "2.5", "north", "south");
        assertThat(tenant.startsWith("PUT /v1/tenants/ferry {"), is(true));
        assertThat(tenant.contains("\"key\":\"secret\""), is(true));
        assertThat(tenant.contains("\"share\":2.5"), is(true));
        assertThat(tenant.contains("\"homes\":[\"north\",\"south\"]"), is(true));
        final String cell = line("table", "set", "*", "fare", "rate", "3");
        assertThat(cell.startsWith("PATCH /v1/table {\"cells\":[{"), is(true));
        assertThat(cell.contains("\"tenant\":\"*\""), is(true));
        assertThat(cell.contains("\"kind\":\"fare\""), is(true));
        assertThat(cell.contains("\"field\":\"rate\""), is(true));
        assertThat(cell.contains("\"value\":\"3\""), is(true));
    }

    @Test
    void configurationIsPrintedVerbatim() throws IOException {
        final ToolCommand get = CommandParser.parse(List.of("charter", "get")).orElseThrow();
        assertThat(((RequestCommand) get).verbatim(), is(true));
        final ToolCommand table = CommandParser.parse(List.of("table", "get")).orElseThrow();
        assertThat(((RequestCommand) table).verbatim(), is(false));
    }

    @Test
    void deprecatedAndCurrentCommandNamesSendTheSameRequest() throws IOException {
        for (final List<String> names : List.of(
                List.of("charter get", "configuration get"),
                List.of("charter rules", "configuration routes"),
                List.of("charter put FILE", "configuration put FILE"),
                List.of("charter put FILE 7", "configuration put FILE 7"),
                List.of("calendar list", "schedule list"),
                List.of("calendar put night FILE", "schedule put night FILE"),
                List.of("calendar drop night", "schedule delete night"),
                List.of("tenant drop ferry", "tenant delete ferry"),
                List.of("drain syros", "evacuate syros"),
                List.of("undrain syros", "restore syros"))) {
            final String[] deprecated = names.get(0).replace("FILE", file()).split(" ");
            final String[] current = names.get(1).replace("FILE", file()).split(" ");
            assertThat(names.get(1), line(current), is(line(deprecated)));
            assertThat(
                    names.get(1),
                    ((RequestCommand) CommandParser.parse(List.of(current)).orElseThrow()).verbatim(),
                    is(((RequestCommand)
                                    CommandParser.parse(List.of(deprecated)).orElseThrow())
                            .verbatim()));
        }
        assertThat(line("configuration", "get"), is("GET /v1/charter"));
        assertThat(line("schedule", "delete", "night"), is("DELETE /v1/calendars/night"));
        assertThat(line("evacuate", "syros"), is("PUT /v1/zones/syros {\"empty\":true}"));
    }

    @Test
    void claimsCommandDefaultsToRunningClaimsAndTableDiffReadsTheFile() throws IOException {
        assertThat(CommandParser.parse(List.of("claims")), is(Optional.of(new ClaimsCommand("running"))));
        assertThat(CommandParser.parse(List.of("claims", "lost")), is(Optional.of(new ClaimsCommand("lost"))));
        assertThat(
                CommandParser.parse(List.of("table", "diff", file())).orElseThrow(),
                instanceOf(TableDiffCommand.class));
    }

    @Test
    void unknownCommandsAndWrongArgumentsAreNotParsed() throws IOException {
        for (final String words : List.of(
                "table",
                "table get now",
                "table put",
                "table set * fare rate",
                "tenant",
                "tenant put ferry secret",
                "tenant put ferry secret many",
                "charter put file x",
                "charter put file 1 2",
                "drain",
                "drain a b",
                "configuration",
                "configuration rules",
                "configuration put file x",
                "charter routes",
                "schedule drop night",
                "calendar delete night",
                "evacuate",
                "restore a b",
                "zones a",
                "status now",
                "claims running now",
                "get",
                "get/0",
                "status/0")) {
            assertThat(words, CommandParser.parse(List.of(words.split(" "))), is(Optional.empty()));
        }
        assertThat(CommandParser.parse(List.of()), is(Optional.empty()));
    }

    @Test
    void missingFileThrowsNoSuchFileException() {
        Assertions.assertThrows(
                NoSuchFileException.class,
                () -> CommandParser.parse(
                        List.of("table", "put", directory.resolve("none").toString())));
    }
}
