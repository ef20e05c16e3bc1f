package silverlatch.simulation.explore;

import java.util.Collection;
import java.util.List;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Builds the minimal configurations that operators put, and reads the values of entries for the history. */
final class Documents {
    /** The prefix of the keys of evacuations. */
    static final String EVACUATION_PREFIX = "z/";

    /** The prefix of the keys of command outcomes, which end with the command's id. */
    static final String OUTCOME_PREFIX = "o/";

    private static final String POOL = "pool";

    private Documents() {}

    /** Returns the command of a put. */
    static Command put(final String id, final Operation operation) {
        final Value.BackendPool pool = new Value.BackendPool(POOL, "/", 1, 0, 1, 1, 0, 1);
        final Value.Route route = new Value.Route(
                "route",
                "host" + operation.number(),
                "/",
                false,
                false,
                false,
                false,
                1,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(new Value.WeightedBackend(POOL, 1)));
        return new Command.PutConfiguration(
                id,
                new Value.RoutingConfiguration(operation.number(), 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                operation.text(),
                operation.match());
    }

    /** Returns the value that a read of the configuration or of the zone observed. */
    static String readValue(final Action.Kind kind, final Collection<Entry> entries) {
        String value = kind == Action.Kind.READ ? "" : "false";
        for (final Entry entry : entries) {
            if (!entry.isDeleted()) {
                value = entryValue(entry);
            }
        }
        return value;
    }

    /** Returns the text of a configuration document, or "true" or "false" for the evacuation of a zone. */
    static String entryValue(final Entry entry) {
        return entry.value().get(0) instanceof Value.ConfigurationDocument document
                ? document.text()
                : Boolean.toString(entry.value().get(0) instanceof Value.Evacuation evacuation && evacuation.active());
    }

    /** Returns the number of a document from its text, or 0 for an empty text. */
    static int number(final String text) {
        return text.isEmpty() ? 0 : Integer.parseInt(text.substring(0, text.indexOf('/')));
    }

    /** Returns whether the properties check an entry, which is so for the configuration document and evacuations. */
    static boolean isMonitored(final Entry entry) {
        return entry.key().equals(ConfigurationValidator.DOCUMENT_KEY)
                || entry.key().startsWith(EVACUATION_PREFIX);
    }
}
