package silverlatch.server.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Compares the responses that clients received with what workers executed and sent. Each violation begins with its rule:
 *
 * <ul>
 *   <li>UNASKED: a worker received a request that no client sent completely, or one that differs from the client's.
 *   <li>TWICE: a request that isn't idempotent was executed more than once.
 *   <li>BUDGET: a request was sent to more workers than allowed.
 *   <li>MIXED: a client received a response that isn't a worker's response to its own request.
 *   <li>REFUSED: a client received a status that invites a retry although a worker executed its request.
 *   <li>ORDER: a resumed stream has missing, duplicate or misplaced events.
 *   <li>REUSED: a connection to a worker was reused after bytes followed a response on it.
 * </ul>
 */
final class ExchangeChecker {
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(408, 421, 429, 503);
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+) piece (\\d+)\n\n");
    private static final Pattern TENANT = Pattern.compile("(?im)^Silverlatch-Tenant:[ \t]*(.*?)[ \t\r]*$");
    private static final int LEFTOVERS_PER_ALLOWED_REUSE = 20;
    private final ExchangeLog log;
    private final int maxAttempts;
    private final List<String> violations = new ArrayList<>();

    ExchangeChecker(final ExchangeLog log, final int maxAttempts) {
        this.log = log;
        this.maxAttempts = maxAttempts;
    }

    List<String> check() {
        violations.addAll(log.violations);
        log.runs.forEach(this::checkSentByClient);
        log.requests.values().forEach(this::checkRuns);
        log.responses.forEach(this::checkResponse);
        checkReuses();
        return violations.stream()
                .map(violation -> violation.replaceAll("x{4,}|y{4,}", "..."))
                .toList();
    }

    /**
     * Checks that connections on which bytes followed a response, in the same write, are not reused. A read may end between the
     * response and these bytes, which then arrive after the next request was sent; only the request id prevents a mix-up in that
     * case. Therefore one reuse per twenty such responses is allowed here, while the responses that clients receive must always
     * satisfy the other rules.
     */
    private void checkReuses() {
        final long leftovers =
                log.runs.stream().filter(run -> run.behaviour().leavesBytes()).count();
        if (log.reuses.size() * LEFTOVERS_PER_ALLOWED_REUSE > leftovers + LEFTOVERS_PER_ALLOWED_REUSE) {
            violations.add("REUSED: " + log.reuses.size() + " of " + leftovers + ": " + log.reuses);
        }
    }

    private void checkSentByClient(final ExchangeLog.Run run) {
        final ExchangeLog.ClientRequest request = log.requests.get(run.requestId());
        if (request == null || !request.complete()) {
            violations.add("UNASKED: " + run);
        } else if (!request.path().equals(run.path()) || !request.body().equals(run.requestBody())) {
            violations.add("UNASKED: changed " + run + " of " + request);
        } else if (!TENANT.matcher(run.requestHead())
                        .results()
                        .map(found -> found.group(1))
                        .toList()
                        .equals(List.of(ExchangeLog.TENANT_PREFIX + request.tenant()))
                || run.requestHead().contains(ExchangeLog.KEY_PREFIX)) {
            violations.add("UNASKED: another tenant, or a key, in " + run + " of " + request);
        }
    }

    private void checkRuns(final ExchangeLog.ClientRequest request) {
        final List<ExchangeLog.Run> runs = log.runs.stream()
                .filter(run -> run.requestId().equals(request.id()))
                .toList();
        final long executed = runs.stream().filter(ExchangeLog.Run::executed).count();
        if (!request.kind().idempotent && executed > 1) {
            violations.add("TWICE: " + runs);
        }
        if (runs.size() > maxAttempts) {
            violations.add("BUDGET: " + runs);
        }
    }

    private void checkResponse(final ExchangeLog.ReceivedResponse received) {
        final HttpResponseReader.Message message = received.message();
        if (message.end() == HttpResponseReader.End.NOTHING) {
            return;
        }
        if (message.end() == HttpResponseReader.End.GARBAGE
                || message.raw().contains("FORGED")
                || message.status() < 200) {
            violations.add("MIXED: no response " + received);
            return;
        }
        final List<String> seals = message.values("Silverlatch-Seal");
        final Optional<ExchangeLog.Run> run =
                seals.size() == 1 ? Optional.ofNullable(log.runsBySeal.get(seals.get(0))) : Optional.empty();
        if (message.status() / 100 == 2 && run.isEmpty()) {
            violations.add("MIXED: a success without a worker's seal " + received);
        } else if (!seals.isEmpty() && run.isEmpty()) {
            violations.add("MIXED: seals " + seals + " " + received);
        }
        run.ifPresent(sealedRun -> checkSealed(received, sealedRun));
        if (RETRYABLE_STATUSES.contains(message.status()) && !received.request().kind().idempotent) {
            log.runs.stream()
                    .filter(sealedRun ->
                            sealedRun.requestId().equals(received.request().id()) && sealedRun.executed())
                    .findFirst()
                    .ifPresent(sealedRun -> violations.add("REFUSED: " + received + " although " + sealedRun));
        }
    }

    private void checkSealed(final ExchangeLog.ReceivedResponse received, final ExchangeLog.Run run) {
        final HttpResponseReader.Message message = received.message();
        if (!run.requestId().equals(received.request().id())) {
            violations.add("MIXED: another request's response " + received + " of " + run);
        } else if (run.status() != message.status()) {
            violations.add("MIXED: another status " + received + " than " + run);
        } else if (message.status() / 100 == 2 && received.request().kind() == ExchangeLog.Kind.RESUMABLE) {
            checkResumed(received);
        } else {
            checkBody(received, run);
        }
    }

    private void checkBody(final ExchangeLog.ReceivedResponse received, final ExchangeLog.Run run) {
        final HttpResponseReader.Message message = received.message();
        final boolean complete = message.end() == HttpResponseReader.End.COMPLETE;
        if (complete && (!message.body().equals(run.body()) || !run.complete())) {
            violations.add("MIXED: not the whole body " + received + " of " + run);
        } else if (!run.body().startsWith(message.body())) {
            violations.add("MIXED: another body " + received + " than " + run);
        }
    }

    /**
     * Checks that the events of a resumed stream arrive in order and without a gap, and that events of another run begin after the
     * Last-Event-Id that was sent to that run's worker.
     */
    private void checkResumed(final ExchangeLog.ReceivedResponse received) {
        final HttpResponseReader.Message message = received.message();
        final String requestId = received.request().id();
        final Matcher events = EVENT.matcher(message.body());
        int last = 0;
        int end = 0;
        String seal = "";
        while (events.find() && events.start() == end) {
            end = events.end();
            final int piece = Integer.parseInt(events.group(1));
            final Optional<ExchangeLog.Run> run = Optional.ofNullable(log.runsBySeal.get(events.group(3)));
            final String resumedAt = last == 0 ? "" : "" + last;
            if (piece != last + 1 || !events.group(2).equals(requestId)) {
                violations.add("ORDER: piece " + piece + " after " + last + " in " + received);
            }
            if (!events.group(3).equals(seal)
                    && run.filter(r -> r.lastEventId().equals(resumedAt)).isEmpty()) {
                violations.add("ORDER: joined with another run at " + last + " in " + received);
            }
            if (last == 0 && !List.of(events.group(3)).equals(message.values("Silverlatch-Seal"))) {
                violations.add("MIXED: another run's seal over " + received);
            }
            seal = events.group(3);
            last = piece;
        }
        final boolean complete = message.end() == HttpResponseReader.End.COMPLETE;
        if (complete
                && (last != ScriptedWorker.eventCount(requestId)
                        || end != message.body().length())) {
            violations.add("ORDER: complete after piece " + last + " of " + ScriptedWorker.eventCount(requestId)
                    + " in " + received);
        }
    }
}
