package silverlatch.simulation.sim;

import java.util.List;

/** Faults aimed at a step of a ticket or of a change. */
final class Aims {
    private Aims() {}

    static void frozenAtPick(final World w, final long span) {
        freeze(w, Step.PICKED, span);
    }

    static void frozenAtClaim(final World w, final long span) {
        freeze(w, Step.CLAIMS, span);
    }

    static void frozenAtAsk(final World w, final long span) {
        freeze(w, Step.ASKS, span);
        w.later(200_000, () -> w.some(w.mills()).leave());
        final String zone = w.some(w.plan().regions()).zone();
        w.later(300_000, () -> w.office().drain(zone, true));
        w.later(span + 8_000_000, () -> {
            w.office().drain(zone, false);
            w.mills().forEach(m -> {
                m.kill();
                m.start();
            });
        });
    }

    static void frozenAtPiece(final World w, final long span) {
        freeze(w, Step.PIECE, span);
    }

    static void frozenAtHead(final World w, final long span) {
        freeze(w, Step.HEAD, span);
    }

    static void frozenAtTail(final World w, final long span) {
        freeze(w, Step.TAIL, span);
    }

    static void killedAtSteps(final World w, final long span) {
        w.tell("kill at pick, claim, ask and piece");
        for (final Step step : List.of(Step.PICKED, Step.CLAIMS, Step.ASKS, Step.PIECE)) {
            w.aim(step, n -> {
                w.tell("kill " + n.name() + " at " + step);
                n.kill();
                w.later(w.engine().luck().nextLong(1_500_000), n::start);
            });
        }
    }

    static void killedAtSync(final World w, final long span) {
        final Step step = w.engine().luck().nextBoolean() ? Step.HEAD : Step.TAIL;
        w.aim(step, n -> {
            w.tell("kill " + n.name() + " at " + step);
            n.kill();
            w.later(span, n::start);
        });
    }

    static void freeze(final World w, final Step step, final long span) {
        w.tell("freeze at " + step);
        final long nap = w.engine().luck().nextBoolean()
                ? span
                : 30_000 + w.engine().luck().nextLong(500_000);
        w.aim(step, n -> {
            w.tell("freeze " + n.name() + " at " + step + " for " + nap / 1000 + " ms");
            n.freeze(true);
            w.later(nap, () -> n.freeze(false));
        });
    }
}
