package silverlatch.server.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Compares what clients got with what workers ran and sent; every line that it gives is a broken rule. */
final class ExchangeChecker {
    private static final Set<Integer> RETRYABLE_STATUSES = Set.of(408, 421, 429, 503);
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+) (\\S+) piece (\\d+)\n\n");
    private static final Pattern TENANT = Pattern.compile("(?im)^Silverlatch-Tenant:[ \t]*(.*?)[ \t\r]*$");
    private static final int LEFTOVERS_FOR_ONE_REUSE = 20;
    private final ExchangeLog log;
    private final int maxAttempts;
    private final List<String> violations = new ArrayList<>();

    ExchangeChecker(final ExchangeLog log, final int maxAttempts) {
        this.log = log;
        this.maxAttempts = maxAttempts;
    }

    List<String> check() {
        violations.addAll(log.violations);
        log.runs.forEach(this::checkRequested);
        log.attempts.values().forEach(this::checkRuns);
        log.responses.forEach(this::checkResponse);
        checkReuses();
        return violations.stream()
                .map(violation -> violation.replaceAll("x{4,}|y{4,}", "..."))
                .toList();
    }

    /**
     * Connections on which bytes followed a response, in one write with it, are not used again. A read may end between the
     * two, and the rest come after the next request was sent; the attempt id alone keeps them apart then. So one in twenty
     * is allowed here, while what clients get is held to the rules above in each case.
     */
    private void checkReuses() {
        final long leftovers =
                log.runs.stream().filter(run -> run.behaviour().leavesBytes()).count();
        if (log.reuses.size() * LEFTOVERS_FOR_ONE_REUSE > leftovers + LEFTOVERS_FOR_ONE_REUSE) {
            violations.add("REUSED: " + log.reuses.size() + " of " + leftovers + ": " + log.reuses);
        }
    }

    private void checkRequested(final ExchangeLog.Run run) {
        final ExchangeLog.Attempt attempt = log.attempts.get(run.attemptId());
        if (attempt == null || !attempt.complete()) {
            violations.add("UNASKED: " + run);
        } else if (!attempt.path().equals(run.path()) || !attempt.body().equals(run.requestBody())) {
            violations.add("UNASKED: changed " + run + " of " + attempt);
        } else if (!TENANT.matcher(run.head())
                        .results()
                        .map(found -> found.group(1))
                        .toList()
                        .equals(List.of(ExchangeLog.TENANT_PREFIX + attempt.tenant()))
                || run.head().contains(ExchangeLog.KEY_PREFIX)) {
            violations.add("UNASKED: another tenant, or a key, in " + run + " of " + attempt);
        }
    }

    private void checkRuns(final ExchangeLog.Attempt attempt) {
        final List<ExchangeLog.Run> arrived = log.runs.stream()
                .filter(run -> run.attemptId().equals(attempt.id()))
                .toList();
        final long executed = arrived.stream().filter(ExchangeLog.Run::executed).count();
        if (!attempt.kind().idempotent && executed > 1) {
            violations.add("TWICE: " + arrived);
        }
        if (arrived.size() > maxAttempts) {
            violations.add("BUDGET: " + arrived);
        }
    }

    private void checkResponse(final ExchangeLog.Received received) {
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
        if (RETRYABLE_STATUSES.contains(message.status()) && !received.attempt().kind().idempotent) {
            log.runs.stream()
                    .filter(sealedRun ->
                            sealedRun.attemptId().equals(received.attempt().id()) && sealedRun.executed())
                    .findFirst()
                    .ifPresent(sealedRun -> violations.add("REFUSED: " + received + " although " + sealedRun));
        }
    }

    private void checkSealed(final ExchangeLog.Received received, final ExchangeLog.Run run) {
        final HttpResponseReader.Message message = received.message();
        if (!run.attemptId().equals(received.attempt().id())) {
            violations.add("MIXED: another request's response " + received + " of " + run);
        } else if (run.status() != message.status()) {
            violations.add("MIXED: another status " + received + " than " + run);
        } else if (message.status() / 100 == 2 && received.attempt().kind() == ExchangeLog.Kind.RESUMABLE) {
            checkResumed(received);
        } else {
            checkBody(received, run);
        }
    }

    private void checkBody(final ExchangeLog.Received received, final ExchangeLog.Run run) {
        final HttpResponseReader.Message message = received.message();
        final boolean complete = message.end() == HttpResponseReader.End.COMPLETE;
        if (complete && (!message.body().equals(run.body()) || !run.complete())) {
            violations.add("MIXED: not the whole body " + received + " of " + run);
        } else if (!run.body().startsWith(message.body())) {
            violations.add("MIXED: another body " + received + " than " + run);
        }
    }

    /** Pieces come in order, without a gap; those of another run begin where that run was told to go on. */
    private void checkResumed(final ExchangeLog.Received received) {
        final HttpResponseReader.Message message = received.message();
        final String attemptId = received.attempt().id();
        final Matcher events = EVENT.matcher(message.body());
        int last = 0;
        int end = 0;
        String seal = "";
        while (events.find() && events.start() == end) {
            end = events.end();
            final int piece = Integer.parseInt(events.group(1));
            final Optional<ExchangeLog.Run> run = Optional.ofNullable(log.runsBySeal.get(events.group(3)));
            final String resumedAt = last == 0 ? "" : "" + last;
            if (piece != last + 1 || !events.group(2).equals(attemptId)) {
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
                && (last != ScriptedWorker.pieces(attemptId)
                        || end != message.body().length())) {
            violations.add("ORDER: complete after piece " + last + " of " + ScriptedWorker.pieces(attemptId) + " in "
                    + received);
        }
    }
}
