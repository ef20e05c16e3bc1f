package silverlatch.server.tool;

import java.util.List;
import silverlatch.json.JsonDocument;

/** Lists the claimed idempotency keys whose claim is in a given state. */
record ClaimsCommand(String state) implements ToolCommand {
    private static final List<String> STATES = List.of("running", "done", "lost", "rejected");

    /** The number of partitions of the claims. The API lists them by the first two hexadecimal digits of the hashed key. */
    private static final int PARTITIONS = 256;

    @Override
    public ExitCode run(final ApiClient client, final Console console) {
        if (!STATES.contains(state)) {
            console.error("the state of a claim is running, done, lost or rejected, not " + state);
            return ExitCode.WRONG_USE;
        }
        int claimCount = 0;
        for (int partition = 0; partition < PARTITIONS; partition++) {
            switch (DocumentFetch.fetch(String.format("/v1/claims/%02x", partition), client, console)) {
                case DocumentFetch.Failed failed -> {
                    return failed.code();
                }
                case DocumentFetch.Fetched page -> claimCount += print(page.document(), console);
            }
        }
        console.out().println(claimCount + " " + state);
        return ExitCode.DONE;
    }

    private int print(final JsonDocument page, final Console console) {
        final List<JsonDocument> claims = page.objects("claims", Integer.MAX_VALUE).stream()
                .filter(claim -> claim.string("state", 16).equals(state))
                .toList();
        claims.forEach(claim -> console.out()
                .println("ticket=" + claim.string("ticket", 256) + "  carrier=" + claim.string("carrier", 64)
                        + "  since=" + claim.string("since", 64)));
        return claims.size();
    }
}
