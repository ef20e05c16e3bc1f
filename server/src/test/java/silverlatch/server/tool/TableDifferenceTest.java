package silverlatch.server.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.json.JsonDocument;

/**
 * Guards against a table diff that misses a change or reports one that doesn't exist, and against invalid files that are compared
 * instead of rejected.
 */
final class TableDifferenceTest {
    private static final String CURRENT =
            "{\"sequence\":9,\"rows\":[{\"tenant\":\"*\",\"kind\":\"fare\",\"running\":2},{\"tenant\":\"*\",\"kind\":\"old\"}]}";

    private static TableDifference between(final String file) {
        final JsonDocument.ParseResult current =
                JsonDocument.parse(CURRENT.getBytes(StandardCharsets.UTF_8), CURRENT.length());
        return TableDifference.between(
                ((JsonDocument.ParseResult.Valid) current).document(), file.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void addedAndRemovedRowsAndChangedCellsAreListedOnALineEach() {
        assertThat(
                between(
                        "{\"rows\":[{\"tenant\":\"*\",\"kind\":\"fare\",\"running\":3},{\"tenant\":\"ferry\",\"kind\":\"new\"}]}"),
                is(new TableDifference.Computed(List.of("- * old", "  * fare running: 2 -> 3", "+ ferry new"), 9)));
    }

    @Test
    void identicalTablesHaveNoDifferences() {
        assertThat(between(CURRENT), is(new TableDifference.Computed(List.of(), 9)));
    }

    @Test
    void duplicateRowsUnknownKeysAndInvalidJsonAreFaults() {
        final String row = "{\"tenant\":\"*\",\"kind\":\"fare\"}";
        assertThat(
                between("{\"rows\":[" + row + "," + row + "],\"colour\":1}"),
                is(new TableDifference.Invalid(
                        List.of("$.rows[1].kind: a second row for * and fare", "$.colour: unknown key"))));
        assertThat(between("{odd"), is(new TableDifference.Invalid(List.of("$: not JSON"))));
    }
}
